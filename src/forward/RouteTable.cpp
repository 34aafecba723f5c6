#include "forward/RouteTable.h"

#include "base/Hash.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace siskinshunt {

static constexpr int lowestUrgency = 9;
/// Account priority of callers without an account.
static constexpr int noAccountPriority = 5;

static uint32_t rankKey(int accountPriority, int routePriority)
{
    return static_cast<uint32_t>(accountPriority) * 16 + static_cast<uint32_t>(routePriority);
}

static std::string lowerCase(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

// Numbers the combinations of priorities in use without gaps, so that they fit into ten levels.
static void rankPriorities(RouteTable& table)
{
    std::set<int> accounts { noAccountPriority };
    for (const auto& account : table.rules->allowances)
        accounts.insert(account.priority);
    std::set<int> routes;
    for (const auto& forward : table.rules->forwards)
        routes.insert(forward.priority);
    int rank = 0;
    for (const int account : accounts) {
        const bool used = account != noAccountPriority || table.rules->allowances.empty()
            || std::any_of(table.rules->allowances.begin(), table.rules->allowances.end(), [&](const auto& it) { return it.priority == account; });
        for (const int route : routes) {
            table.ranks[rankKey(account, route)] = std::min(rank, lowestUrgency);
            rank += used ? 1 : 0;
        }
    }
}

std::shared_ptr<const RouteTable> makeRouteTable(std::shared_ptr<const RuleSet> rules)
{
    auto table = std::make_shared<RouteTable>();
    table->rules = std::move(rules);
    const auto& set = *table->rules;
    for (size_t n = 0; n < set.forwards.size(); ++n)
        table->forwards.emplace(lowerCase(set.forwards[n].host) + set.forwards[n].prefix, n);
    for (size_t n = 0; n < set.backends.size(); ++n)
        table->backends.emplace(set.backends[n].name, n);
    std::unordered_map<std::string_view, size_t> accounts;
    for (size_t n = 0; n < set.allowances.size(); ++n)
        accounts.emplace(set.allowances[n].name, n);
    for (const auto& key : set.callerKeys) {
        if (const auto it = accounts.find(key.account); it != accounts.end())
            table->accountsByKey.emplace(key.tokenSha256, it->second);
    }
    table->regions = makeRegionRules(set);
    rankPriorities(*table);
    return table;
}

const ForwardRule* findForward(const RouteTable& table, std::string_view host, std::string_view path)
{
    if (const auto colon = host.rfind(':'); colon != std::string_view::npos)
        host = host.substr(0, colon);
    std::string key = lowerCase(host);
    const size_t hostSize = key.size();
    key += path;
    while (key.size() > hostSize) {
        const auto slash = key.rfind('/');
        if (slash == std::string::npos || slash < hostSize)
            return nullptr;
        key.resize(slash + 1);
        if (const auto it = table.forwards.find(key); it != table.forwards.end())
            return &table.rules->forwards[it->second];
        key.resize(slash);
    }
    return nullptr;
}

const AllowanceRule* findAccountOfKey(const RouteTable& table, std::string_view key)
{
    const auto it = table.accountsByKey.find(sha256Hex(key));
    return it == table.accountsByKey.end() ? nullptr : &table.rules->allowances[it->second];
}

const BackendRule* findBackend(const RouteTable& table, std::string_view name)
{
    const auto it = table.backends.find(std::string(name));
    return it == table.backends.end() ? nullptr : &table.rules->backends[it->second];
}

int urgencyOf(const RouteTable& table, const AllowanceRule* account, const ForwardRule& forward)
{
    const auto it = table.ranks.find(rankKey(account ? account->priority : noAccountPriority, forward.priority));
    return it == table.ranks.end() ? lowestUrgency : it->second;
}

}
