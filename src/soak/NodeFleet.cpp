#include "soak/NodeFleet.h"

#include "api/AnnouncementJson.h"
#include "base/Hash.h"
#include "node/Groups.h"
#include "node/NodeState.h"

#include <algorithm>
#include <boost/json.hpp>

namespace siskinshunt {

namespace json = boost::json;

static constexpr uint16_t firstPeerPort = 7000;
static constexpr TimeMs diskRetryDelay { 200 }; ///< After a write that found the disk full.
static const std::string announceToken = "announce-token";
static const char* const domains[] = { "lhr-depot", "lhr-gulberg", "lhr-shahdara" };

std::string NodeFleet::rulesText(const std::string& note)
{
    return "account office token-sha256=" + sha256Hex("office") + " # Asma Butt: " + note + "\n"
                                                                                            "class booking priority=1 deadline=10s queue=50 # Omar Khan: bookings\n"
                                                                                            "class crew priority=0 deadline=20s queue=50 # Hina Raza: crews\n"
                                                                                            "route bookings service=hire-desk class=booking method=POST repeat=once # Omar Khan: never twice\n"
                                                                                            "route status service=hire-desk class=booking method=GET repeat=yes # Omar Khan: may repeat\n"
                                                                                            "route crew model=sound-plan class=crew repeat=yes # Hina Raza: crew desk\n"
                                                                                            "retry default route=* budget=100% attempts=4 base=10ms cap=100ms # Sana Iqbal: retries\n"
                                                                                            "version sound-plan-v1 model=sound-plan version=v1 # Sana Iqbal: in service\n";
}

NodeFleet::NodeFleet(NodeFleetOptions given)
    : options(std::move(given))
    , random(options.seed)
    , nodes(static_cast<size_t>(options.nodes))
    , blockedLinks(nodes.size(), std::vector<bool>(nodes.size()))
{
    for (size_t n = 0; n < nodes.size(); ++n) {
        auto& settings = nodes[n].settings;
        settings.node = "entry-" + std::to_string(n);
        settings.cluster = "lahore";
        settings.failureDomain = domains[n % 3];
        settings.http = { "127.0.0.1", static_cast<uint16_t>(8000 + n) };
        settings.peer = { "127.0.0.1", static_cast<uint16_t>(firstPeerPort + n) };
        settings.peerKey = std::string(32, 'k');
        for (uint16_t seed = 0; seed < 3; ++seed)
            settings.seeds.push_back({ "127.0.0.1", static_cast<uint16_t>(firstPeerPort + seed) });
        settings.operators = { { "omar", sha256Hex("omar") }, { "sana", sha256Hex("sana") } };
        settings.announceTokenSha256 = sha256Hex(announceToken);
        settings.timings.tick = options.tick;
        settings.timings.entryValid = options.entryValid;
        settings.ledgerGroups = options.ledgerGroups;
        settings.voters.target = options.targetVoters;
        settings.voters.missingTimeout = options.missingVoterTimeout;
        if (n < static_cast<size_t>(options.disks)) {
            settings.dataFolder = "data";
            nodes[n].disk = std::make_unique<FakeDisk>();
            nodes[n].voter = options.voterIdsNameNodes ? makeVoterId(idOfName<NodeId>(settings.node), random.next()) : VoterId { 1000 + n };
            if (options.forwards)
                settings.listeners.control = { "127.0.0.1", static_cast<uint16_t>(5000 + n) };
        } else if (options.forwards) {
            settings.listeners.forward = { "127.0.0.1", static_cast<uint16_t>(6000 + n) };
        }
    }
}

bool NodeFleet::startCluster()
{
    for (size_t n = 0; n < nodes.size(); ++n)
        start(n);
    announceAll();
    runFor(3_s);
    json::array names;
    for (int n = 0; n < options.voters; ++n)
        names.emplace_back("entry-" + std::to_string(n));
    HttpRequest bootstrap { "POST", "/admin/voters", { { "Authorization", "Bearer omar" } }, json::serialize(json::object { { "action", "bootstrap" }, { "voters", names } }) };
    const auto bootstrapCaller = post(0, bootstrap);
    runFor(3_s);
    if (caller(bootstrapCaller).status != 200)
        return false;
    const auto applied = apply(0, "first", 0, rulesText("first"), "omar");
    return runUntil([&] { return caller(applied).done && agreeOnRevision(1); }, 20_s) && caller(applied).status == 200;
}

void NodeFleet::scheduleAfter(TimeMs delay, std::function<void()> run)
{
    m_events.emplace(std::make_pair(now + delay, ++m_lastEvent), std::move(run));
}

void NodeFleet::runFor(TimeMs duration)
{
    runUntil([] { return false; }, duration);
}

bool NodeFleet::runUntil(const std::function<bool()>& reached, TimeMs limit)
{
    const TimeMs end = now + limit;
    while (!reached()) {
        if (m_events.empty() || m_events.begin()->first.first > end) {
            now = end;
            return reached();
        }
        auto event = m_events.extract(m_events.begin());
        now = event.key().first;
        event.mapped()();
    }
    return true;
}

void NodeFleet::start(size_t n)
{
    auto& it = nodes[n];
    NodeOptions made { .settings = it.settings, .startedAtUtc = now, .seed = random.next(), .voter = it.voter, .recovered = {}, .dialect = options.dialect };
    if (it.disk) {
        it.storage = handle([&]() -> Result<std::unique_ptr<RetryingStorage>> {
            BOOST_LEAF_AUTO(storage, openRetryingStorage(*it.disk, { .cluster = hash64(it.settings.cluster) }));
            return std::make_unique<RetryingStorage>(std::move(storage)); },
            [&](const Error& error) { violations.push_back(toString(error)); return std::unique_ptr<RetryingStorage>(); });
        if (!it.storage)
            return;
        made.recovered = it.storage->storage->takeRecovered();
    }
    it.node = handle([&] { return makeNode(std::move(made), now); }, [&](const Error& error) { violations.push_back(toString(error)); return NodePtr(); });
    it.stopped = false;
    if (it.disk && it.node && it.node->view.rules.revision < it.revision)
        violations.push_back(it.settings.node + " restarted with revision " + std::to_string(it.node->view.rules.revision) + " after " + std::to_string(it.revision));
    if (!it.disk)
        it.revision = 0;
    tickNode(n, it.generation);
}

void NodeFleet::kill(size_t n, bool powerLoss)
{
    auto& it = nodes[n];
    ++it.generation;
    it.node.reset();
    it.storage.reset();
    it.pendingDiskRequests.clear();
    it.writing = false;
    it.frozen = false;
    it.bufferedInputs = {};
    if (powerLoss && it.disk)
        it.disk->crash(random);
    for (auto& [number, caller] : callers)
        caller.lost = caller.lost || (!caller.done && caller.node == n && caller.generation < it.generation);
    for (const auto& [exchange, passed] : m_passed) {
        if (passed.to == n)
            fail(passed.key, 1_ms, UpstreamFailure::Closed);
    }
    std::erase_if(m_passed, [&](const auto& it) { return it.second.to == n; });
    for (const auto& [key, address] : m_open) {
        if (std::get<0>(key) == n)
            disconnectPassed(key);
    }
    std::erase_if(m_open, [&](const auto& it) { return std::get<0>(it.first) == n; });
    std::erase_if(m_idleConnections, [&](const auto& it) { return it.first.first == n; });
}

void NodeFleet::loseDisk(size_t n)
{
    kill(n, true);
    auto& it = nodes[n];
    it.disk = std::make_unique<FakeDisk>();
    it.voter = makeVoterId(idOfName<NodeId>(it.settings.node), random.next());
    it.revision = 0;
}

void NodeFleet::freeze(size_t n)
{
    nodes[n].frozen = true;
}

void NodeFleet::thaw(size_t n)
{
    auto& it = nodes[n];
    it.frozen = false;
    Inputs bufferedInputs;
    std::swap(bufferedInputs, it.bufferedInputs);
    if (it.node)
        deliver(n, it.generation, std::move(bufferedInputs));
}

void NodeFleet::setLinkBlocked(size_t from, size_t to, bool blocked)
{
    blockedLinks[from][to] = blocked;
}

void NodeFleet::isolate(size_t node, bool blocked)
{
    for (size_t n = 0; n < nodes.size(); ++n) {
        setLinkBlocked(node, n, blocked);
        setLinkBlocked(n, node, blocked);
    }
}

void NodeFleet::tickNode(size_t n, uint64_t generation)
{
    if (nodes[n].generation != generation || !nodes[n].node)
        return;
    if (!nodes[n].frozen)
        deliver(n, generation, {});
    scheduleAfter(options.tick, [this, n, generation] { tickNode(n, generation); });
}

template <class T>
static void appendTo(std::vector<T>& to, std::vector<T>& from)
{
    std::move(from.begin(), from.end(), std::back_inserter(to));
}

void NodeFleet::deliver(size_t n, uint64_t generation, Inputs inputs)
{
    auto& it = nodes[n];
    if (it.generation != generation || !it.node)
        return;
    if (it.frozen) {
        appendTo(it.bufferedInputs.requests, inputs.requests);
        appendTo(it.bufferedInputs.disconnected, inputs.disconnected);
        appendTo(it.bufferedInputs.events, inputs.events);
        appendTo(it.bufferedInputs.datagrams, inputs.datagrams);
        appendTo(it.bufferedInputs.frames, inputs.frames);
        appendTo(it.bufferedInputs.completions, inputs.completions);
        return;
    }
    Outputs out;
    step(*it.node, now, std::move(inputs), out);
    const uint64_t revision = it.node->view.rules.revision;
    if (revision < it.revision)
        violations.push_back(it.settings.node + " went back from revision " + std::to_string(it.revision) + " to " + std::to_string(revision));
    it.revision = std::max(it.revision, revision);
    handleOutputs(n, out);
}

void NodeFleet::handleOutputs(size_t n, Outputs& out)
{
    auto& it = nodes[n];
    for (const auto& answer : out.answers)
        handleAnswer(n, answer);
    for (const auto& address : out.discardedPools) {
        discardedPools.push_back(address);
        m_idleConnections.erase({ n, address });
    }
    for (auto& request : out.dispatches)
        dispatch(n, std::move(request));
    for (const DispatchId id : out.cancels) {
        m_open.erase({ n, it.generation, id });
        disconnectPassed({ n, it.generation, id });
    }
    for (auto& datagram : out.datagrams)
        send(n, datagram.peer, std::move(datagram.bytes), true);
    for (auto& frame : out.frames)
        send(n, frame.peer, std::move(frame.bytes), false);
    appendTo(it.pendingDiskRequests, out.disk);
    writeDisk(n);
    if (out.stop) {
        kill(n, false);
        it.stopped = true;
    }
}

TimeMs NodeFleet::transferTime(size_t node, size_t bytes) const
{
    const double rate = nodes[node].disk ? options.diskNodeBytesPerMs : options.entryBytesPerMs;
    return rate > 0 ? TimeMs { static_cast<int64_t>(static_cast<double>(bytes) / rate) } : TimeMs {};
}

void NodeFleet::send(size_t from, const Endpoint& peer, std::string bytes, bool datagram)
{
    const size_t to = peer.port - firstPeerPort;
    if (peer.port < firstPeerPort || to >= nodes.size() || blockedLinks[from][to] || (datagram && random.chance(loss)))
        return;
    if (!datagram && losesFrame && losesFrame(from, to, bytes))
        return;
    const size_t size = bytes.size();
    Inputs inputs;
    if (datagram)
        inputs.datagrams.push_back({ toString(nodes[from].settings.peer), std::move(bytes) });
    else
        inputs.frames.push_back(std::move(bytes));
    const TimeMs latency { random.between(1, 4) };
    if (datagram)
        return scheduleAfter(latency, [this, to, generation = nodes[to].generation, inputs = std::move(inputs)]() mutable { deliver(to, generation, std::move(inputs)); });
    auto& sender = nodes[from];
    auto& receiver = nodes[to];
    sender.sentUntil = std::max(sender.sentUntil, now) + transferTime(from, size);
    receiver.receivedUntil = std::max(receiver.receivedUntil, sender.sentUntil) + transferTime(to, size);
    sender.bytesToSend += size;
    sender.maxBytesToSend = std::max(sender.maxBytesToSend, sender.bytesToSend);
    scheduleAfter(receiver.receivedUntil + latency - now, [this, from, to, size, generation = receiver.generation, inputs = std::move(inputs)]() mutable {
        nodes[from].bytesToSend -= size;
        deliver(to, generation, std::move(inputs));
    });
}

// Like the daemon's disk thread: runs one write at a time; requests that arrive meanwhile go into the next one.
void NodeFleet::writeDisk(size_t n)
{
    auto& it = nodes[n];
    if (it.writing || it.pendingDiskRequests.empty())
        return;
    it.writing = true;
    auto batch = std::make_shared<const std::vector<DiskRequest>>(std::move(it.pendingDiskRequests));
    it.pendingDiskRequests.clear();
    scheduleAfter(it.diskDelay, [this, n, generation = it.generation, batch] { writeBatch(n, generation, batch); });
}

void NodeFleet::writeBatch(size_t n, uint64_t generation, std::shared_ptr<const std::vector<DiskRequest>> batch)
{
    auto& it = nodes[n];
    if (it.generation != generation)
        return;
    const WriteOutcome outcome = write(*it.storage, *batch);
    if (outcome.state == WriteState::Full)
        return scheduleAfter(diskRetryDelay, [this, n, generation, batch] { writeBatch(n, generation, batch); });
    Inputs inputs;
    inputs.pinning = outcome.report.pinning;
    for (const auto& request : *batch)
        inputs.completions.push_back({ request.group, request.id, outcome.state == WriteState::Written, outcome.error });
    scheduleAfter(TimeMs { random.between(0, 3) }, [this, n, generation, inputs = std::move(inputs)]() mutable {
        if (nodes[n].generation != generation)
            return;
        nodes[n].writing = false;
        deliver(n, generation, std::move(inputs));
        if (nodes[n].generation == generation)
            writeDisk(n);
    });
}

uint64_t NodeFleet::post(size_t n, HttpRequest request, ListenerKind listener)
{
    const uint64_t number = ++m_lastCaller;
    auto& it = callers[number];
    it.node = n;
    it.generation = nodes[n].generation;
    it.request = request;
    it.postedAt = now;
    it.lost = !nodes[n].node;
    Inputs inputs;
    inputs.requests.push_back({ number, std::move(request), "127.0.0.1:9", listener });
    scheduleAfter(1_ms, [this, n, generation = it.generation, inputs = std::move(inputs)]() mutable { deliver(n, generation, std::move(inputs)); });
    return number;
}

void NodeFleet::disconnectCaller(uint64_t number)
{
    auto& it = caller(number);
    it.lost = true;
    Inputs inputs;
    inputs.disconnected.push_back(number);
    deliver(it.node, it.generation, std::move(inputs));
}

void NodeFleet::handleAnswer(size_t n, const Answer& answer)
{
    if (m_passed.contains(answer.exchange))
        return handlePassedAnswer(answer);
    const auto found = callers.find(answer.exchange);
    if (found == callers.end())
        return;
    auto& it = found->second;
    if (it.done || it.node != n)
        violations.push_back("an answer part for caller " + std::to_string(answer.exchange) + " after its end or at another node");
    if (answer.part == AnswerPart::Whole || answer.part == AnswerPart::Head) {
        it.status = answer.status;
        it.headers = answer.headers;
    }
    it.body += answer.body;
    it.aborted = answer.part == AnswerPart::Abort;
    it.done = answer.part == AnswerPart::Whole || answer.part == AnswerPart::End || it.aborted;
    it.answeredAt = now;
}

uint64_t NodeFleet::postBooking(size_t n, const std::string& key, const std::string& body)
{
    return post(n, { "POST", "/services/hire-desk/bookings", { { "Authorization", "Bearer office" }, { "Idempotency-Key", key } }, body });
}

uint64_t NodeFleet::postCompletion(size_t n, bool stream, int tokens)
{
    const json::object body { { "model", "sound-plan" }, { "stream", stream }, { "max_tokens", tokens }, { "prompt", "question " + std::to_string(m_lastCaller + 1) } };
    return post(n, { "POST", "/v1/completions", { { "Authorization", "Bearer office" } }, json::serialize(body) });
}

uint64_t NodeFleet::putConfiguration(size_t n, uint64_t number, const std::string& rules)
{
    return post(n, { "PUT", "/" + std::to_string(number), {}, rules }, ListenerKind::Control);
}

uint64_t NodeFleet::apply(size_t n, const std::string& requestId, uint64_t expected, const std::string& text, const std::string& operatorName)
{
    const json::object body { { "request_id", requestId }, { "expected_revision", expected }, { "text", text } };
    return post(n, { "POST", "/admin/rules", { { "Authorization", "Bearer " + operatorName } }, json::serialize(body) });
}

std::string NodeFleet::member(const Caller& caller, const std::string& name)
{
    json::error_code ec;
    auto root = json::parse(caller.body, ec);
    if (ec || !root.is_object())
        return {};
    const auto* error = root.get_object().if_contains("error");
    const auto* value = (error ? error->get_object() : root.get_object()).if_contains(name);
    return !value ? std::string {} : value->is_string() ? std::string(value->get_string())
                                                        : json::serialize(*value);
}

std::string NodeFleet::adminGet(size_t n, const std::string& target)
{
    const auto number = post(n, { "GET", target, { { "Authorization", "Bearer omar" } }, {} });
    runUntil([&] { return caller(number).done; }, 1_s);
    return caller(number).body;
}

bool NodeFleet::hasAllVoters()
{
    size_t whole = 0;
    for (const auto& process : nodes) {
        if (!process.node)
            continue;
        for (const auto& [id, group] : process.node->groups) {
            const auto voters = status(*group.replica).voters;
            const auto running = std::count_if(nodes.begin(), nodes.end(), [&](const auto& it) { return it.node && std::find(voters.begin(), voters.end(), it.voter) != voters.end(); });
            whole += leadsGroup(*process.node, group) && voters.size() == options.targetVoters && static_cast<size_t>(running) == voters.size();
        }
    }
    return whole == 1 + options.ledgerGroups;
}

bool NodeFleet::agreeOnRevision(uint64_t revision)
{
    return std::all_of(nodes.begin(), nodes.end(), [&](const Process& it) { return !it.node || (it.node->rules && it.node->view.rules.revision == revision); });
}

size_t NodeFleet::decisionLeader()
{
    for (size_t n = 0; n < nodes.size(); ++n) {
        if (nodes[n].node && nodes[n].node->leadsDecisions)
            return n;
    }
    return nodes.size();
}

int NodeFleet::executionCount(const std::string& key) const
{
    const auto it = runs.find(key);
    return it == runs.end() ? 0 : it->second.count;
}

}
