# Functions that execute the steps of a fault plan on the fleet of tools/lib/fleet.sh.

# fault_prepare: sets the lists of targets to which a plan refers by number, and the rules that racing operators apply.
fault_prepare() {
    local fakes="examples/$fleet_name/fakes.json"
    mapfile -t fault_nodes <<<"$fleet_nodes"
    mapfile -t fault_addresses <<<"$fleet_addresses"
    mapfile -t fault_engines < <(sed -n '/"engines"/,/\]/s/.*"name": "\([^"]*\)".*/\1/p' "$fakes")
    mapfile -t fault_services < <(sed -n '/"services"/,/\]/s/.*"name": "\([^"]*\)".*/\1/p' "$fakes")
    mapfile -t fault_domains < <(sed -n 's/.*"failure_domain": "\([^"]*\)".*/\1/p' "$fleet_folder"/entry-*.json | awk '!seen[$0]++')
    fault_model=$(sed -n 's/^version [^ ]* model=\([^ ]*\).*/\1/p' "examples/$fleet_name/$fleet_name.rules" | head -1)
    fault_rules="$fleet_folder/moving.rules"
    cp "examples/$fleet_name/$fleet_name.rules" "$fault_rules"
    echo "move to-v2 model=$fault_model from=v1 to=v2 by=$(date -u -d '+10 minutes' +%Y-%m-%dT%H:%MZ) max-share=10% # Fault run: bad versions need a move" >>"$fault_rules"
    fault_races=0 fault_racers=()
    mkdir -p "$fleet_folder/races"
}

fault_control() {
    curl -s --max-time 5 -X POST "http://$fleet_control/control/$1" -d "$2"
    echo
}

# fault_word KEY ARGUMENTS...: prints the value of the argument KEY=VALUE, if there is one.
fault_word() {
    local key=$1 word
    shift
    for word in "$@"; do
        [ "${word%%=*}" = "$key" ] && echo "${word#*=}"
    done
    return 0
}

fault_version() {
    local json="\"version\":\"v2\",\"mode\":\"$(fault_word mode "$@")\"" key value
    for key in after_ms under_load factor; do
        value=$(fault_word $key "$@")
        [ -z "$value" ] || json+=",\"$key\":$value"
    done
    value=$(fault_word path "$@")
    [ -z "$value" ] || json+=",\"path\":\"$value\""
    fault_control version "{$json}"
}

fault_revision() {
    local address
    for address in $fleet_addresses; do
        curl -s --max-time 1 "http://$address/metrics" | sed -n 's/^siskinshunt_rules_revision //p'
    done | sort -n | tail -1
}

# fault_apply ID EXPECTED FILE ADDRESS...: sends one request and records the response; if the response is lost, sends the
# request again with the same request id.
fault_apply() {
    local id=$1 expected=$2 file=$3 code=0
    shift 3
    build/bin/siskinshuntctl rules apply "$file" --expected "$expected" --request-id "$id" --timeout 2000 --json --address "$@" >"$fleet_folder/races/$id.out" 2>&1 || code=$?
    echo "$id $expected $code $(sed -n 's/.*"revision": *\([0-9]*\).*/\1/p' "$fleet_folder/races/$id.out" | head -1)" >>"$fleet_folder/races/answers"
}

# fault_lose_answer ID EXPECTED FILE ADDRESS: sends the request and disconnects without waiting for the response.
fault_lose_answer() {
    local body="$fleet_folder/races/$1.json"
    sed 's/\\/\\\\/g; s/"/\\"/g; s/$/\\n/' "$3" | tr -d '\n' | sed "s/^/{\"request_id\":\"$1\",\"expected_revision\":$2,\"text\":\"/; s/\$/\"}/" >"$body"
    curl -s --max-time 0.03 -X POST -H "Authorization: Bearer $SISKINSHUNT_TOKEN" --data-binary "@$body" "http://$4/admin/rules" >/dev/null || true
}

# fault_race LOSE_ANSWER: two operators concurrently apply different texts with the same expected revision.
fault_race() {
    local expected operator backwards
    expected=$(fault_revision)
    [ -n "$expected" ] || { echo "no node told its revision"; return; }
    fault_races=$((fault_races + 1))
    backwards=$(echo "$fleet_addresses" | tac)
    for operator in a b; do
        { cat "$fault_rules"; echo "# Race $fault_races of operator $operator."; } >"$fleet_folder/races/race-$fault_races-$operator.rules"
    done
    (
        [ "$1" = no ] || fault_lose_answer "race-$fault_races-a" "$expected" "$fleet_folder/races/race-$fault_races-a.rules" "${fault_addresses[0]}"
        fault_apply "race-$fault_races-a" "$expected" "$fleet_folder/races/race-$fault_races-a.rules" $fleet_addresses
    ) &
    fault_racers+=($!)
    fault_apply "race-$fault_races-b" "$expected" "$fleet_folder/races/race-$fault_races-b.rules" $backwards &
    fault_racers+=($!)
}

# fault_kill NODE
fault_kill() {
    kill -0 "${fleet_node_pid[$1]}" 2>/dev/null || echo "$1 had ended before it was killed" >>"$fleet_folder/ended"
    fleet_kill_node "$1"
}

fault_wipe() {
    fault_kill "$1"
    rm -rf "$fleet_folder/data-$1"
    fleet_start_node "$1"
}

# fault_step ACTION TARGET ARGUMENTS...: one step of the plan.
fault_step() {
    local action=$1 target=$2 number=${2##*-} name=
    shift 2
    case $target in
    daemon-*) name=${fault_nodes[number - 1]} ;;
    engine-*) name=${fault_engines[number - 1]} ;;
    service-*) name=${fault_services[number - 1]} ;;
    domain-*) name=${fault_domains[number - 1]} ;;
    esac
    case $action in
    kill) fault_kill "$name" ;;
    stop) kill -STOP "${fleet_node_pid[$name]}" ;;
    continue) kill -CONT "${fleet_node_pid[$name]}" ;;
    restart) fleet_start_node "$name" ;;
    wipe) fault_wipe "$name" ;;
    reclaim-engine) fault_control reclaim "{\"name\":\"$name\",\"notice_ms\":$(fault_word notice_ms "$@")}" ;;
    restart-engine) fault_control restart "{\"name\":\"$name\"}" ;;
    reclaim-domain) fault_control reclaim "{\"domain\":\"$name\",\"notice_ms\":$(fault_word notice_ms "$@")}" ;;
    restart-domain) fault_control restart "{\"domain\":\"$name\"}" ;;
    refuse-starts) fault_control refuse-starts "{\"domain\":\"$name\",\"refuse\":true}" ;;
    allow-starts) fault_control refuse-starts "{\"domain\":\"$name\",\"refuse\":false}" ;;
    bad-version) fault_version "$@" ;;
    good-version) fault_version mode=good ;;
    racing-operators) fault_race "$(fault_word lose_answer "$@")" ;;
    freeze-connections) fault_control freeze "{\"name\":\"$name\"}" ;;
    drop-answers) fault_control drop-answers "{\"name\":\"$name\",\"count\":$(fault_word count "$@"),\"mixed\":true}" ;;
    *) echo "unknown action $action" >&2; return 1 ;;
    esac
}

# fault_run PLAN: executes each line of the plan file at its time, in milliseconds from the start.
fault_run() {
    local start at line now
    start=$(date +%s%3N)
    while read -r at line; do
        now=$(($(date +%s%3N) - start))
        [ "$now" -ge "$at" ] || sleep "$(printf '%d.%03d' $(((at - now) / 1000)) $(((at - now) % 1000)))"
        echo "$(($(date +%s%3N) - start)) $line"
        # shellcheck disable=SC2086
        fault_step $line || echo "the step failed"
    done <"$1"
}

# fault_sample N FILE: appends `PID NODE REVISION` of the node with number N, starting at 0, until it is killed. A sample
# is dropped if the process was replaced meanwhile.
fault_sample() {
    local node=${fault_nodes[$1]} revision pid
    while sleep 0.3; do
        pid=$(<"$fleet_folder/$node.pid")
        revision=$(curl -s --max-time 1 "http://${fault_addresses[$1]}/metrics" | sed -n 's/^siskinshunt_rules_revision //p') || true
        [ -n "$revision" ] && [ "$pid" = "$(<"$fleet_folder/$node.pid")" ] && echo "$pid $node $revision" >>"$2"
    done
}

# fault_ask_again: waits for the racing operators, then sends every request again with its id, so that each request has a
# definite outcome.
fault_ask_again() {
    local id expected rest
    [ ${#fault_racers[@]} -eq 0 ] || wait "${fault_racers[@]}"
    cut -d' ' -f1,2 "$fleet_folder/races/answers" | sort -u >"$fleet_folder/races/requests"
    while read -r id expected rest; do
        fault_apply "$id" "$expected" "$fleet_folder/races/$id.rules" $fleet_addresses
    done <"$fleet_folder/races/requests"
}

# fault_highest: prints the highest accepted revision.
fault_highest() { awk '$3 == 0 && $4 > high { high = $4 } END { print high + 0 }' "$fleet_folder/races/answers"; }

# fault_race_errors: prints requests with two different outcomes or none, and expected revisions for which not exactly one
# request was accepted.
fault_race_errors() {
    awk '{ expected[$1] = $2; revisions[$2] }
        $3 > 1 { next }
        $1 in outcome && outcome[$1] != $3 " " ($3 ? "" : $4) { print $1 " was answered both " outcome[$1] " and " $3 " " $4; differs = 1 }
        { outcome[$1] = $3 " " ($3 ? "" : $4) }
        END {
            for (id in expected) {
                if (!(id in outcome)) { print id " has no definite answer"; continue }
                wins[expected[id]] += outcome[id] ~ /^0/
            }
            for (n in revisions) if (wins[n] != 1) print wins[n] + 0 " requests won over revision " n
        }' "$fleet_folder/races/answers"
}

# fault_reverted FILE: prints samples with a lower revision than an earlier sample of the same process.
fault_reverted() { awk '$3 < high[$1] { print $2 " went from " high[$1] " to " $3 } $3 > high[$1] { high[$1] = $3 }' "$1"; }

# fault_behind REVISION: prints the nodes that have another revision.
fault_behind() {
    local n
    for n in "${!fault_nodes[@]}"; do
        [ "$(curl -s --max-time 2 "http://${fault_addresses[n]}/metrics" | sed -n 's/^siskinshunt_rules_revision //p')" = "$1" ] || echo "${fault_nodes[n]}"
    done
}

fault_none_behind() { [ -z "$(fault_behind "$1")" ]; }

# fault_ended: prints the nodes whose process ended by itself or logged a failed invariant.
fault_ended() {
    local node
    for node in $fleet_nodes; do
        [ -n "${fleet_node_pid[$node]:-}" ] && kill -0 "${fleet_node_pid[$node]}" 2>/dev/null || echo "$node has ended"
        grep -o -m 1 'invariant failed.*' "$fleet_folder/$node.log" | sed "s/^/$node: /" || true
    done
}
