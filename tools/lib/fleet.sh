# Functions for scripts that run a fleet of daemons and simulated upstreams on this machine. The script starts every
# process itself and ends it by its process id.

declare -A fleet_node_pid

# fleet_prepare NAME FOLDER: copies the example fleet NAME into FOLDER, with data folders below it.
fleet_prepare() {
    fleet_name=$1 fleet_folder=$2
    mkdir -p "$fleet_folder"
    for file in examples/"$fleet_name"/entry-*.json; do
        local node
        node=$(basename "$file" .json)
        sed "s|\"/var/lib/siskinshunt\"|\"$fleet_folder/data-$node\"|" "$file" >"$fleet_folder/$node.json"
    done
    cp examples/"$fleet_name"/peer.key "$fleet_folder/"
    fleet_nodes=$(cd "$fleet_folder" && ls entry-*.json | sed 's/\.json//')
    fleet_address=$(sed -n 's/.*"http": "\([^"]*\)".*/\1/p' "$fleet_folder/entry-1.json")
    fleet_addresses=$(sed -n 's/.*"http": "\([^"]*\)".*/\1/p' "$fleet_folder"/entry-*.json)
    export SISKINSHUNT_TOKEN=operator-token-of-the-example
}

# fleet_start_node NODE
fleet_start_node() {
    "${fleet_program:-build/bin/siskinshunt}" --config "$fleet_folder/$1.json" >>"$fleet_folder/$1.log" 2>&1 &
    fleet_node_pid[$1]=$!
    echo $! >"$fleet_folder/$1.pid"
}

# fleet_kill_node NODE
fleet_kill_node() {
    kill -KILL "${fleet_node_pid[$1]}"
    wait "${fleet_node_pid[$1]}" 2>/dev/null || true
    unset "fleet_node_pid[$1]"
}

# fleet_start_fakes
fleet_start_fakes() {
    build/bin/siskinshuntctl fakes --config "examples/$fleet_name/fakes.json" >"$fleet_folder/fakes.log" 2>&1 &
    fleet_control=$(sed -n 's/.*"control": "\([^"]*\)".*/\1/p' "examples/$fleet_name/fakes.json")
}

# fleet_wait SECONDS COMMAND...: waits until the command succeeds.
fleet_wait() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -ge $end ] && { echo "gave up waiting for: $*" >&2; return 1; }
        sleep 0.1
    done
}

fleet_members_alive() {
    [ "$(curl -s "http://$fleet_address/metrics" | sed -n 's/^siskinshunt_members_alive //p')" = "$1" ]
}

fleet_upstreams_known() {
    [ "$(curl -s "http://$1/metrics" | sed -n 's/^siskinshunt_upstreams //p')" -ge "$2" ]
}

# fleet_voters_known: whether the first node knows the voter id of every other node with a data folder. Another node can
# list a node as alive before it knows that id.
fleet_voters_known() {
    local folders
    folders=$(grep -l '"data_folder"' "$fleet_folder"/entry-*.json | wc -l)
    [ "$(build/bin/siskinshuntctl status --json --address "$fleet_address" | grep -o '"voter": *true' | wc -l)" -ge $((folders - 1)) ]
}

fleet_in_force() {
    build/bin/siskinshuntctl rules show --json --address "$fleet_address" | grep -q '"in_force_everywhere": *true'
}

# fleet_start: starts the simulated upstreams and all nodes, bootstraps the voters and applies the rules.
fleet_start() {
    fleet_start_fakes
    for node in $fleet_nodes; do
        fleet_start_node "$node"
    done
    fleet_wait 20 fleet_members_alive "$(echo "$fleet_nodes" | wc -w)"
    fleet_wait 20 fleet_voters_known
    build/bin/siskinshuntctl voters bootstrap --address "$fleet_address" --voter entry-1 entry-2 entry-3 >/dev/null
    fleet_wait 20 build/bin/siskinshuntctl rules apply "examples/$fleet_name/$fleet_name.rules" --expected 0 --request-id first-rules --address "$fleet_address"
    fleet_wait 20 fleet_in_force
    for address in $fleet_addresses; do
        fleet_wait 20 fleet_upstreams_known "$address" 10
    done
}

# fleet_stop: ends every started process that is still running. The shell lists only its own children, so a process id
# that was reused by another process is never among them.
fleet_stop() {
    local pid
    for pid in $(jobs -pr); do
        kill -CONT "$pid" 2>/dev/null || true
        kill -INT "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}
