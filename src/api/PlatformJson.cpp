#include "api/PlatformJson.h"

#include <boost/json.hpp>
#include <cmath>

namespace siskinshunt {

namespace json = boost::json;

static constexpr size_t maxItems = 10000;
static constexpr size_t maxNameLength = 64;
static constexpr double maxPrice = 1e6;
static constexpr int64_t maxNoticeMs = 86400000;

namespace {

    // Reads typed members of one list item and records the first error.
    struct ItemReader {
        const json::object& object;
        std::string problem;

        void recordProblem(std::string_view key, std::string_view allowed)
        {
            if (problem.empty())
                problem = "\"" + std::string(key) + "\": expected " + std::string(allowed);
        }

        void text(std::string_view key, std::string& target, bool required)
        {
            const auto* value = object.if_contains(key);
            if (!value && !required)
                return;
            const auto* found = value ? value->if_string() : nullptr;
            if (!found || found->size() > maxNameLength || (required && found->empty()))
                return recordProblem(key, "a string of at most 64 bytes");
            target = std::string_view(*found);
        }

        void kind(bool& reclaimable)
        {
            std::string name;
            text("kind", name, true);
            if (name != "reclaimable" && name != "on-demand")
                recordProblem("kind", "reclaimable or on-demand");
            reclaimable = name == "reclaimable";
        }

        void state(PlatformState& target)
        {
            std::string name;
            text("state", name, true);
            if (const auto parsed = parseEnum<PlatformState>(name))
                target = *parsed;
            else
                recordProblem("state", "starting, running or stopped");
        }

        void price(double& target)
        {
            const auto* value = object.if_contains("per_hour");
            const double number = value && value->is_number() ? value->to_number<double>() : -1;
            if (!std::isfinite(number) || number < 0 || number > maxPrice)
                return recordProblem("per_hour", "a number from 0 to 1000000");
            target = number;
        }

        void notice(TimeMs& target)
        {
            const auto* value = object.if_contains("reclaim_in_ms");
            if (!value || !value->is_int64() || value->get_int64() > maxNoticeMs)
                return recordProblem("reclaim_in_ms", "a whole number up to 86400000");
            target = { std::max<int64_t>(0, value->get_int64()) };
        }
    };

}

static void read(ItemReader& item, PlatformPrice& out)
{
    item.text("domain", out.domain, true);
    item.text("machine", out.machine, true);
    item.kind(out.reclaimable);
    item.price(out.perHour);
}

static void read(ItemReader& item, PlatformInstance& out)
{
    item.text("id", out.id, true);
    item.text("domain", out.domain, true);
    item.text("machine", out.machine, true);
    item.text("model", out.model, false);
    item.text("version", out.version, false);
    item.kind(out.reclaimable);
    item.state(out.state);
}

static void read(ItemReader& item, PlatformNotice& out)
{
    item.text("id", out.id, true);
    item.notice(out.reclaimIn);
}

template <class T>
static Result<std::vector<T>> parseList(std::string_view body, std::string_view name)
{
    if (body.size() > maxPlatformBytes)
        return fail(ErrorCode::TooLarge, Step::Decode, "platform", "the answer is over 4 MiB");
    json::error_code ec;
    const json::value root = json::parse(body, ec);
    const json::value* value = !ec && root.is_object() ? root.get_object().if_contains(name) : nullptr;
    const json::array* list = value ? value->if_array() : nullptr;
    if (!list)
        return fail(ErrorCode::Invalid, Step::Decode, "platform", "expected an object with a list \"" + std::string(name) + "\"");
    if (list->size() > maxItems)
        return fail(ErrorCode::TooLarge, Step::Decode, "platform", "\"" + std::string(name) + "\": at most 10000 items");
    std::vector<T> out;
    out.reserve(list->size());
    for (const auto& entry : *list) {
        const std::string where = "\"" + std::string(name) + "\" item " + std::to_string(out.size() + 1);
        if (!entry.is_object())
            return fail(ErrorCode::Invalid, Step::Decode, "platform", where + ": expected an object");
        ItemReader item { entry.get_object(), {} };
        read(item, out.emplace_back());
        if (!item.problem.empty())
            return fail(ErrorCode::Invalid, Step::Decode, "platform", where + ": " + item.problem);
    }
    return out;
}

Result<std::vector<PlatformPrice>> parsePrices(std::string_view body)
{
    return parseList<PlatformPrice>(body, "prices");
}

Result<std::vector<PlatformInstance>> parseInstances(std::string_view body)
{
    return parseList<PlatformInstance>(body, "instances");
}

Result<std::vector<PlatformNotice>> parseNotices(std::string_view body)
{
    return parseList<PlatformNotice>(body, "notices");
}

}
