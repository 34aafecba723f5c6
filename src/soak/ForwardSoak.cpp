#include "base/Hash.h"
#include "node/ForwardFlow.h"
#include "rules/RuleParser.h"
#include "soak/ForwardSchedule.h"

#include <algorithm>

namespace siskinshunt {

namespace forwardsoak {

    static constexpr TimeMs scheduleLength { 20000 };
    static constexpr TimeMs settleLength { 14000 };
    static constexpr TimeMs answerSlack { 500 };
    // With less time left the node sends a request nowhere.
    static constexpr TimeMs minAttemptTime { 10 };
    // A node that drains answers the requests that are left this long before its limit.
    static constexpr TimeMs drainEndTime { 200 };
    // An upstream that has not answered for less than this is not silent.
    static constexpr TimeMs minSilence { 200 };

    void note(ForwardSchedule& schedule, uint64_t exchange, const std::string& text)
    {
        auto& caller = schedule.callers[exchange];
        std::string line = text;
        std::replace(line.begin(), line.end(), '\n', '|');
        caller.history += "\n    +" + std::to_string((schedule.now - caller.arrivedAt).value) + " " + line;
    }

    void violate(ForwardSchedule& schedule, uint64_t exchange, const std::string& text)
    {
        if (!schedule.result.violation.empty())
            return;
        const auto& caller = schedule.callers[exchange];
        schedule.result.violation = "request r" + std::to_string(exchange) + " of " + caller.route.name + ": " + text + ", at +" + std::to_string((schedule.now - caller.arrivedAt).value)
            + " ms of " + std::to_string((caller.deadline - caller.arrivedAt).value) + caller.history;
    }

    std::string streamText(const Caller& caller, uint64_t exchange, uint64_t after, const std::string& run)
    {
        std::string out;
        for (uint64_t n = after + 1; n <= caller.events; ++n)
            out += "id: " + std::to_string(n) + "\ndata: r" + std::to_string(exchange) + (caller.route.resume ? "" : " " + run) + (n % 3 ? "\n\n" : "\r\n\r\n");
        return out;
    }

    // Rules.

    static std::string rulesText(const ForwardSchedule& schedule)
    {
        const std::string author = " # Asma: test\n";
        std::string out = "backend desk" + author + "backend hall" + author + "backend lm slots=8 memory-tokens=100000" + author + "backend gen slots=4 memory-tokens=100000" + author
            + "allowance gold priority=0" + author + "allowance tin rate=2 burst=4" + author;
        for (const auto& [key, inForce] : schedule.keys) {
            if (inForce)
                out.append("caller-key ").append(key).append(key == "tin" ? " account=tin" : " account=gold").append(" token-sha256=").append(sha256Hex(key)).append(author);
        }
        for (const auto& it : schedule.routes) {
            if (it.dropped)
                continue;
            out += "forward " + it.name + " host=h prefix=/" + it.name + "/ kind=" + it.kind + " timeout=" + std::to_string(it.timeout.value) + "ms target=300ms gap=150ms attempts=" + std::to_string(it.attempts)
                + (it.resume ? " resume=yes" : "") + (it.anonymous ? " anonymous=yes" : "") + " to=" + it.backend + ":1" + author;
        }
        return out;
    }

    static void applyRules(ForwardSchedule& schedule)
    {
        auto parsed = parseRules(rulesText(schedule));
        if (!parsed.problems.empty())
            schedule.result.violation = "the rules are not valid: " + parsed.problems.front().message;
        schedule.node->rules = std::make_shared<const RuleSet>(std::move(parsed.rules));
        setForwardRules(*schedule.node);
    }

    static void changeRules(ForwardSchedule& schedule)
    {
        static const std::map<std::string, std::string> s_others { { "desk", "hall" }, { "hall", "desk" }, { "lm", "gen" }, { "gen", "lm" } };
        auto& route = schedule.routes[schedule.random.below(schedule.routes.size())];
        bool& key = std::next(schedule.keys.begin(), static_cast<int64_t>(schedule.random.below(schedule.keys.size())))->second;
        const uint64_t kind = schedule.random.below(4);
        ++schedule.result.faults["rules changed"];
        if (kind == 0)
            key = !key;
        else if (kind == 1)
            route.backend = s_others.at(route.backend);
        else if (kind == 2)
            route.timeout = TimeMs { schedule.random.between(300, 8000) };
        else
            route.dropped = !route.dropped;
        applyRules(schedule);
    }

    static void changeRetryLimit(ForwardSchedule& schedule)
    {
        static constexpr RetryLimit s_limits[] = { { 10_s, 0, 1 }, { 10_s, 0.05, 2 }, { 10_s, 0.2, 5 }, { 10_s, 1, 200 } };
        schedule.node->forward.retryLimit = s_limits[schedule.random.below(std::size(s_limits))];
    }

    // Answers.

    // Whether the text is a part of one answer from its start or, if `complete`, all of it.
    static bool isOwnText(const Caller& caller, uint64_t exchange, bool complete)
    {
        const auto matches = [&](const std::string& whole) { return complete ? whole == caller.text : whole.starts_with(caller.text); };
        if (caller.route.resume)
            return matches(streamText(caller, exchange, caller.firstEvent, {})) && (caller.text.empty() || caller.text.ends_with("\n\n") || caller.text.ends_with("\n\r\n"));
        return std::any_of(caller.results.begin(), caller.results.end(), [&](const auto& it) { return it.status == 200 && matches(it.body); });
    }

    static void checkHead(ForwardSchedule& schedule, Caller& caller, const Answer& answer)
    {
        if (std::exchange(caller.headSeen, true))
            violate(schedule, answer.exchange, "a second answer head");
        const auto receipt = findHeader(answer.headers, schedule.names.receipt);
        const auto result = std::find_if(caller.results.begin(), caller.results.end(), [&](const auto& it) { return it.receipt == receipt; });
        const bool own = answer.status == 200 || answer.status == 500;
        if (own != (result != caller.results.end()) || (own && result->status != answer.status))
            violate(schedule, answer.exchange, "status " + std::to_string(answer.status) + " with the receipt of another answer or none");
        else if (answer.part == AnswerPart::Whole && own && result->body != answer.body)
            violate(schedule, answer.exchange, "a body that is not the upstream's");
        if (answer.part == AnswerPart::Head && answer.status != 200)
            violate(schedule, answer.exchange, "a failure is streamed");
        if (answer.status == 401 && (caller.route.anonymous || !caller.account.empty()))
            violate(schedule, answer.exchange, "a valid key is refused");
        if (answer.status == 404 && !caller.route.dropped)
            violate(schedule, answer.exchange, "a route in force is refused");
        caller.contentLength = answer.contentLength;
        caller.refused = answer.status == 503 || answer.status == 429 || answer.status == 408 || answer.status == 421;
        if (caller.refused && caller.runs)
            violate(schedule, answer.exchange, "refused as not run after it ran");
    }

    static void checkAbort(ForwardSchedule& schedule, const Caller& caller, uint64_t exchange)
    {
        const Node& node = *schedule.node;
        const bool leaving = node.draining && schedule.now - node.drainSince >= node.options.settings.timings.drainLimit - drainEndTime;
        const bool late = leaving || caller.deadline - schedule.now <= minAttemptTime;
        if (!late && caller.route.resume && caller.mayHaveRun < caller.route.attempts)
            violate(schedule, exchange, "an answer that can be resumed is cut");
        ++schedule.result.faults[late ? "answers cut by time" : "answers cut"];
    }

    static void handleAnswer(ForwardSchedule& schedule, const Answer& answer)
    {
        Caller& caller = schedule.callers[answer.exchange];
        note(schedule, answer.exchange, "answer part " + std::to_string(static_cast<int>(answer.part)) + ", status " + std::to_string(answer.status) + ", " + answer.body.substr(0, 100));
        if (std::exchange(caller.ended, answer.part != AnswerPart::Head && answer.part != AnswerPart::Body))
            violate(schedule, answer.exchange, "an answer goes on after its end");
        switch (answer.part) {
        case AnswerPart::Whole:
            ++schedule.result.faults["answers " + std::to_string(answer.status)];
            [[fallthrough]];
        case AnswerPart::Head:
            return checkHead(schedule, caller, answer);
        case AnswerPart::Body:
            caller.text += answer.body;
            if (!isOwnText(caller, answer.exchange, false))
                violate(schedule, answer.exchange, "a text that no upstream made");
            return;
        case AnswerPart::End:
            ++schedule.result.faults["answers streamed"];
            if (!isOwnText(caller, answer.exchange, true) || (caller.contentLength && *caller.contentLength != caller.text.size()))
                violate(schedule, answer.exchange, "an answer is completed before its end");
            return;
        case AnswerPart::Abort:
            return checkAbort(schedule, caller, answer.exchange);
        }
    }

    // Steps of the node.

    static void checkCancel(ForwardSchedule& schedule, const Send& send)
    {
        const Caller& caller = schedule.callers[send.exchange];
        if (send.writtenAt && !send.answered && !caller.ended && schedule.now - *send.writtenAt < minSilence)
            violate(schedule, send.exchange, "d" + std::to_string(send.dispatch.dispatch) + " is closed before it could answer");
        schedule.result.faults["cancelled with bytes to read"] += !send.script.empty() && send.script.front().at <= schedule.now ? 1 : 0;
    }

    static void runNode(ForwardSchedule& schedule, Inputs inputs)
    {
        if (schedule.stopped)
            return;
        Outputs out;
        const bool timer = inputs.isEmpty();
        step(*schedule.node, schedule.now, std::move(inputs), out);
        for (const auto& it : out.answers)
            handleAnswer(schedule, it);
        for (auto& it : out.dispatches) {
            if (std::find(out.cancels.begin(), out.cancels.end(), it.dispatch) == out.cancels.end())
                addSend(schedule, std::move(it));
        }
        for (const DispatchId id : out.cancels) {
            const auto it = schedule.sends.find(id);
            if (it == schedule.sends.end() || it->second.closed)
                continue;
            note(schedule, it->second.exchange, "cancel d" + std::to_string(id));
            checkCancel(schedule, it->second);
            closeSend(schedule, it->second);
        }
        schedule.stopped = out.stop;
        for (auto& [exchange, caller] : schedule.callers) {
            if (timer && !caller.ended && schedule.now > caller.deadline + answerSlack)
                violate(schedule, exchange, "no end after its time");
        }
    }

    // Delivers what the transport has read, in one step or, as the daemon does, each event in a step of its own.
    static void deliverEvents(ForwardSchedule& schedule, bool together)
    {
        Inputs inputs;
        std::vector<DispatchId> ids;
        for (const auto& [id, send] : schedule.sends)
            ids.push_back(id);
        for (const DispatchId id : ids) {
            while (auto event = nextEvent(schedule, schedule.sends.at(id))) {
                inputs.events.push_back(std::move(*event));
                if (!together)
                    runNode(schedule, std::exchange(inputs, {}));
            }
        }
        runNode(schedule, std::move(inputs));
        // The timer of the daemon, after all that was received.
        runNode(schedule, {});
    }

    static void sendRequest(ForwardSchedule& schedule)
    {
        const uint64_t exchange = schedule.callers.size() + 1;
        const auto& route = schedule.routes[schedule.random.below(schedule.routes.size())];
        static const char* const s_keys[] = { "", "gold", "tin", "old" };
        const std::string key = s_keys[schedule.random.below(4)];
        HttpHeaders headers { { "Host", "h" }, { schedule.names.requestId, "r" + std::to_string(exchange) }, { schedule.names.tokens, "400,20" } };
        Caller caller { .route = route, .arrivedAt = schedule.now, .deadline = schedule.now + route.timeout, .events = 1 + schedule.random.below(60), .large = schedule.random.chance(0.05) };
        if (!key.empty()) {
            headers.emplace_back("Authorization", "Bearer " + key);
            caller.account = !schedule.keys[key] ? "" : key == "tin" ? "tin"
                                                                     : "gold";
            caller.route.anonymous = false;
        }
        if (schedule.random.chance(0.4)) {
            const TimeMs left { schedule.random.between(100, 9000) };
            headers.emplace_back(schedule.names.timeLeft, std::to_string(left.value));
            caller.deadline = std::min(caller.deadline, schedule.now + left);
        }
        if (route.resume && schedule.random.chance(0.1)) {
            caller.firstEvent = schedule.random.below(caller.events);
            headers.emplace_back(schedule.names.lastEvent, std::to_string(caller.firstEvent));
        }
        schedule.callers[exchange] = std::move(caller);
        Inputs inputs;
        inputs.requests.push_back({ exchange, { "POST", "/" + route.name + "/1", std::move(headers), "body" }, "127.0.0.9:1", ListenerKind::Forward });
        runNode(schedule, std::move(inputs));
    }

    static void disconnectCaller(ForwardSchedule& schedule)
    {
        const auto first = schedule.callers.lower_bound(schedule.callers.size() - std::min<size_t>(schedule.callers.size(), schedule.random.below(40)));
        const auto it = std::find_if(first, schedule.callers.end(), [](const auto& caller) { return !caller.second.ended; });
        if (it == schedule.callers.end())
            return;
        ++schedule.result.faults["caller left"];
        note(schedule, it->first, "the caller leaves");
        it->second.leftAt = schedule.now;
        it->second.ended = true;
        Inputs inputs;
        inputs.disconnected.push_back(it->first);
        runNode(schedule, std::move(inputs));
    }

    // Faults.

    static void addServer(ForwardSchedule& schedule, const std::string& backend, const std::string& address)
    {
        schedule.servers.push_back({ .name = backend + "-" + std::to_string(schedule.servers.size() + 1), .backend = backend, .address = address });
    }

    // Several upstreams of the backend get into trouble, or recover, at once.
    static void injectBackendFault(ForwardSchedule& schedule, const std::string& backend)
    {
        static constexpr double s_shares[] = { 0, 0.1, 0.5, 1 };
        const double share = s_shares[schedule.random.below(4)];
        const bool refusal = schedule.random.chance(0.4);
        for (auto& server : schedule.servers) {
            if (server.backend == backend && schedule.random.chance(0.6))
                (refusal ? server.refusal : server.trouble) = share;
        }
    }

    static void injectServerFault(ForwardSchedule& schedule, Server& server)
    {
        switch (schedule.random.below(7)) {
        case 0:
            return stopServer(schedule, server);
        case 1:
            return silenceServer(schedule, server, TimeMs { schedule.random.between(200, 3000) });
        case 2:
            ++schedule.result.faults["upstream leaves"];
            server.backAt = schedule.now + TimeMs { schedule.random.between(500, 4000) };
            return announceServer(schedule, server, true);
        case 3:
            ++schedule.result.faults["upstream restarted"];
            stopServer(schedule, server);
            return startServer(schedule, server, server.address);
        default:
            return injectBackendFault(schedule, server.backend);
        }
    }

    static void takeAddress(ForwardSchedule& schedule, const Server& gone)
    {
        if (serverAt(schedule, gone.address))
            return;
        static const char* const s_backends[] = { "desk", "hall", "lm", "gen" };
        const std::string address = gone.address;
        ++schedule.result.faults["address taken over"];
        addServer(schedule, s_backends[schedule.random.below(4)], address);
    }

    static void injectFault(ForwardSchedule& schedule)
    {
        auto& server = schedule.servers[schedule.random.below(schedule.servers.size())];
        switch (schedule.random.below(8)) {
        case 0:
            return changeRules(schedule);
        case 1:
            return changeRetryLimit(schedule);
        case 2:
            ++schedule.result.faults["node stalled"];
            schedule.stalledUntil = schedule.now + TimeMs { schedule.random.between(200, 3000) };
            return;
        case 3:
            return disconnectCaller(schedule);
        case 4:
            if (!schedule.sends.empty())
                resetSend(schedule, std::next(schedule.sends.begin(), static_cast<int64_t>(schedule.random.below(schedule.sends.size())))->second);
            return;
        default:
            return server.up ? injectServerFault(schedule, server) : takeAddress(schedule, server);
        }
    }

    // A fault of which the node does not hear while it is stalled.
    static void injectUpstreamFault(ForwardSchedule& schedule)
    {
        auto& server = schedule.servers[schedule.random.below(schedule.servers.size())];
        if (server.up && schedule.random.chance(0.5))
            stopServer(schedule, server);
        else if (server.up)
            silenceServer(schedule, server, TimeMs { schedule.random.between(200, 3000) });
    }

    static void tickServers(ForwardSchedule& schedule)
    {
        for (auto& server : schedule.servers) {
            if (!server.up && schedule.now >= server.backAt) {
                const bool free = !serverAt(schedule, server.address) && schedule.random.chance(0.5);
                startServer(schedule, server, free ? server.address : newAddress(schedule));
            } else if (server.up && server.isLeaving() && schedule.now >= server.backAt)
                stopServer(schedule, server);
            if (server.up && schedule.now >= server.nextAnnouncement && schedule.now >= server.silentUntil && schedule.now >= schedule.stalledUntil) {
                announceServer(schedule, server, server.isLeaving());
                runNode(schedule, {});
            }
        }
    }

    // Run.

    static void start(ForwardSchedule& schedule, uint64_t seed)
    {
        NodeOptions options;
        options.settings.node = "entry-1";
        options.settings.cluster = "test";
        options.settings.failureDomain = "a";
        options.settings.http = { "127.0.0.1", 8080 };
        options.settings.peer = { "127.0.0.1", 7000 };
        options.settings.peerKey = std::string(32, 'k');
        options.settings.listeners.forward = { "127.0.0.1", 8081 };
        options.settings.timings.drainLimit = TimeMs { 9000 };
        options.settings.ledgerGroups = 0;
        options.startedAtUtc = schedule.now;
        options.seed = seed;
        schedule.node = handle([&] { return makeNode(std::move(options), schedule.now); }, [](const Error&) { return NodePtr {}; });
        schedule.routes = {
            { "book", "once", 1_s, 1, "desk" },
            { "cash", "once", 2_s, 3, "hall", false },
            { "look", "repeatable", 1500_ms, 2, "desk" },
            { "find", "repeatable", 3_s, 3, "hall", false },
            { "plan", "stream", 6_s, 2, "lm", true, true },
            { "chat", "stream", 8_s, 4, "gen", false, true },
            { "ask", "stream", 4_s, 1, "lm" },
            { "tell", "stream", 5_s, 3, "gen", false },
        };
        applyRules(schedule);
        changeRetryLimit(schedule);
        for (const char* backend : { "desk", "hall", "lm", "gen" }) {
            for (int64_t n = schedule.random.between(3, 12); n > 0; --n)
                addServer(schedule, backend, newAddress(schedule));
        }
    }

    static void runStep(ForwardSchedule& schedule)
    {
        schedule.now += TimeMs { schedule.random.between(1, 20) };
        const bool stalled = schedule.now < schedule.stalledUntil;
        if (schedule.faulty && schedule.random.chance(0.003))
            schedule.burstUntil = schedule.now + TimeMs { schedule.random.between(300, 4000) };
        if (schedule.faulty && schedule.random.chance(schedule.now < schedule.burstUntil ? 0.15 : 0.005))
            stalled ? injectUpstreamFault(schedule) : injectFault(schedule);
        tickServers(schedule);
        advanceUpstreams(schedule);
        if (schedule.now < schedule.stalledUntil)
            return;
        // After a stall the timer can come before the events.
        if (schedule.random.chance(0.3))
            runNode(schedule, {});
        deliverEvents(schedule, schedule.random.chance(0.5));
        if (schedule.faulty && schedule.random.chance(0.15))
            sendRequest(schedule);
    }

    static void checkEnd(ForwardSchedule& schedule)
    {
        const auto& forward = schedule.node->forward;
        auto& violation = schedule.result.violation;
        if (schedule.stopped || !violation.empty())
            return;
        for (const auto& [exchange, caller] : schedule.callers) {
            if (!caller.ended)
                violate(schedule, exchange, "no end");
        }
        if (!forward.dispatches.empty() || !forward.calls.empty() || !schedule.sends.empty())
            violation += "left at the end: " + std::to_string(forward.dispatches.size()) + " dispatches, " + std::to_string(forward.calls.size()) + " calls, " + std::to_string(schedule.sends.size()) + " connections";
        for (const auto& [id, target] : forward.targets.entries) {
            if (target.own.running != 0)
                violation += target.name + " has " + std::to_string(target.own.running) + " requests in flight at the end";
        }
    }

    static SoakResult runForward(uint64_t seed)
    {
        ForwardSchedule schedule(seed);
        start(schedule, seed);
        const TimeMs end = schedule.now + scheduleLength;
        const TimeMs drainAt = schedule.random.chance(0.3) ? end - TimeMs { schedule.random.between(0, 12000) } : farFuture;
        while (schedule.now < end + settleLength && schedule.result.violation.empty() && !schedule.stopped) {
            if (schedule.now >= end && std::exchange(schedule.faulty, false)) {
                for (auto& server : schedule.servers)
                    server.trouble = server.refusal = 0;
            }
            if (schedule.now >= drainAt && !schedule.node->draining) {
                ++schedule.result.faults["drain"];
                Inputs inputs;
                inputs.drain = true;
                runNode(schedule, std::move(inputs));
            }
            runStep(schedule);
        }
        checkEnd(schedule);
        schedule.result.faults["requests"] += schedule.callers.size();
        schedule.result.faults["runs"] += schedule.runs;
        return schedule.result;
    }

    static const SoakRegistration s_forwardSoak("forward", runForward);

}

}
