#include "node/PlatformPoll.h"

#include <algorithm>

namespace siskinshunt {

static constexpr TimeMs pollInterval { 2000 };
static constexpr TimeMs responseTimeout { 2000 };
static constexpr TimeMs priceValidity { 60000 };
// Three poll intervals, so that a single lost response does not stop planning.
static constexpr TimeMs instanceListValidity { 6000 };

static void requestList(Node& node, PlatformList list)
{
    auto& poll = node.leader.capacity.polls[list];
    if (poll.dispatch || (poll.requestedAt != TimeMs {} && node.now - poll.requestedAt < pollInterval))
        return;
    UpstreamDispatch dispatch;
    dispatch.dispatch = ++node.lastDispatch;
    dispatch.address = node.options.settings.platform.address;
    dispatch.request = { "GET", "/" + std::string(nameOf(list)), {}, {} };
    dispatch.firstByteTimeout = responseTimeout;
    poll = { .dispatch = dispatch.dispatch, .requestedAt = node.now, .status = 0, .body = {}, .problem = poll.problem };
    node.out.dispatches.push_back(std::move(dispatch));
}

void pollPlatform(Node& node)
{
    for (const auto& it : enumNames<PlatformList>)
        requestList(node, it.value);
}

static void handleNotices(Node& node, std::vector<PlatformNotice> notices)
{
    auto& capacity = node.leader.capacity;
    for (const auto& notice : notices) {
        const auto listed = std::find_if(capacity.instances.begin(), capacity.instances.end(), [&](const auto& it) { return it.id == notice.id; });
        if (listed == capacity.instances.end() || !capacity.recordedNotices.insert(notice.id).second)
            continue;
        recordReclaim(capacity.planner, node.now, listed->domain, listed->machine);
        capacity.nextPlan = node.now;
    }
    capacity.notices = std::move(notices);
}

static void handleInstances(Node& node, std::vector<PlatformInstance> instances, TimeMs requestedAt)
{
    auto& capacity = node.leader.capacity;
    if (instances != capacity.instances)
        capacity.nextPlan = node.now;
    capacity.instances = std::move(instances);
    capacity.instancesAt = requestedAt;
    std::erase_if(capacity.recordedNotices, [&](const std::string& id) {
        return std::none_of(capacity.instances.begin(), capacity.instances.end(), [&](const auto& it) { return it.id == id; });
    });
}

static Result<void> handleList(Node& node, PlatformList list, const PlatformPoll& poll)
{
    if (poll.status != 200)
        return fail(ErrorCode::Unavailable, Step::Receive, "platform", "status " + std::to_string(poll.status));
    auto& capacity = node.leader.capacity;
    switch (list) {
    case PlatformList::Prices: {
        BOOST_LEAF_ASSIGN(capacity.prices, parsePrices(poll.body));
        capacity.pricesAt = poll.requestedAt;
        return {};
    }
    case PlatformList::Notices: {
        BOOST_LEAF_AUTO(notices, parseNotices(poll.body));
        handleNotices(node, std::move(notices));
        return {};
    }
    case PlatformList::Instances: {
        BOOST_LEAF_AUTO(instances, parseInstances(poll.body));
        handleInstances(node, std::move(instances), poll.requestedAt);
        return {};
    }
    }
    return {};
}

// A problem that persists is logged once.
static void finishPoll(Node& node, PlatformList list, PlatformPoll& poll, std::string problem)
{
    poll.dispatch = 0;
    poll.body = {};
    if (!problem.empty() && problem != poll.problem)
        addLog(node, LogLevel::Warning, "platform_unreadable", Step::Receive, "platform", "GET /" + std::string(nameOf(list)) + ": " + problem);
    poll.problem = std::move(problem);
}

static void handlePollEvent(Node& node, PlatformList list, PlatformPoll& poll, const UpstreamEvent& event)
{
    switch (event.kind) {
    case UpstreamEventKind::Sending:
        return;
    case UpstreamEventKind::Head:
        poll.status = event.status;
        return;
    case UpstreamEventKind::Body:
        poll.body += event.bytes;
        if (poll.body.size() <= maxPlatformBytes)
            return;
        node.out.cancels.push_back(poll.dispatch);
        return finishPoll(node, list, poll, "the answer is over 4 MiB");
    case UpstreamEventKind::Failed:
        return finishPoll(node, list, poll, std::string(nameOf(event.failure)));
    case UpstreamEventKind::End:
        break;
    }
    std::string problem;
    handle([&]() -> Result<bool> { BOOST_LEAF_CHECK(handleList(node, list, poll)); return true; }, [&](const Error& error) { problem = error.detail; return false; });
    finishPoll(node, list, poll, std::move(problem));
}

bool handlePlatformEvent(Node& node, const UpstreamEvent& event)
{
    for (auto& [list, poll] : node.leader.capacity.polls) {
        if (poll.dispatch != event.dispatch)
            continue;
        handlePollEvent(node, list, poll, event);
        return true;
    }
    return false;
}

bool hasFreshPrices(const Node& node)
{
    const auto& capacity = node.leader.capacity;
    return capacity.pricesAt && node.now - *capacity.pricesAt <= priceValidity;
}

bool hasFreshInstances(const Node& node)
{
    const auto& capacity = node.leader.capacity;
    return capacity.instancesAt && node.now - *capacity.instancesAt <= instanceListValidity;
}

std::optional<double> platformPrice(const Node& node, const std::string& domain, const std::string& machine, InstanceKind kind)
{
    if (!hasFreshPrices(node))
        return std::nullopt;
    for (const auto& it : node.leader.capacity.prices) {
        if (it.domain == domain && it.machine == machine && it.reclaimable == (kind == InstanceKind::Reclaimable))
            return it.perHour;
    }
    return std::nullopt;
}

}
