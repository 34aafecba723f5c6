#include "api/AnnouncementJson.h"

#include <boost/json.hpp>
#include <cmath>

namespace siskinshunt {

namespace json = boost::json;

static constexpr size_t maxNameLength = 64;
static constexpr size_t maxAdapters = 256;
static constexpr uint64_t maxCount = uint64_t { 1 } << 62;

namespace {

    // Reads typed members of a JSON object and records the first error.
    struct MemberReader {
        const json::object& object;
        std::string prefix;
        std::string problem;

        void recordProblem(std::string_view key, std::string_view allowed)
        {
            if (problem.empty())
                problem = "\"" + prefix + std::string(key) + "\": expected " + std::string(allowed);
        }

        void text(std::string_view key, std::string& target, bool required)
        {
            const auto* value = object.if_contains(key);
            if (!value || value->is_null()) {
                if (required)
                    recordProblem(key, "a string of 1 to 64 bytes");
                return;
            }
            if (!value->is_string() || value->get_string().empty() || value->get_string().size() > maxNameLength)
                return recordProblem(key, "a string of 1 to 64 bytes");
            target = std::string_view(value->get_string());
        }

        void boolean(std::string_view key, bool& target)
        {
            const auto* value = object.if_contains(key);
            if (!value)
                return;
            if (!value->is_bool())
                return recordProblem(key, "true or false");
            target = value->get_bool();
        }

        template <class T>
        void count(std::string_view key, T& target)
        {
            const auto* value = object.if_contains(key);
            if (!value)
                return;
            const uint64_t limit = std::min<uint64_t>(maxCount, std::numeric_limits<T>::max());
            const bool valid = value->is_int64() && value->get_int64() >= 0 && static_cast<uint64_t>(value->get_int64()) <= limit;
            if (!valid)
                return recordProblem(key, "a whole number, not negative");
            target = static_cast<T>(value->get_int64());
        }

        void number(std::string_view key, double& target)
        {
            const auto* value = object.if_contains(key);
            if (!value)
                return;
            if (!value->is_number() || !std::isfinite(value->to_number<double>()) || value->to_number<double>() < 0)
                return recordProblem(key, "a number, not negative");
            target = value->to_number<double>();
        }

        template <class E>
        void enumeration(std::string_view key, E& target)
        {
            std::string value(nameOf(target));
            text(key, value, false);
            std::string allowed = "one of";
            for (const auto& it : enumNames<E>)
                allowed += " " + std::string(it.name);
            if (const auto parsed = parseEnum<E>(value))
                target = *parsed;
            else
                recordProblem(key, allowed);
        }
    };

}

static void readAdapters(MemberReader& reader, std::vector<std::string>& target)
{
    const auto* value = reader.object.if_contains("adapters");
    if (!value)
        return;
    const auto* list = value->if_array();
    if (!list || list->size() > maxAdapters)
        return reader.recordProblem("adapters", "a list of at most 256 strings");
    for (const auto& item : *list) {
        if (!item.is_string() || item.get_string().size() > maxNameLength)
            return reader.recordProblem("adapters", "a list of strings of at most 64 bytes");
        target.emplace_back(std::string_view(item.get_string()));
    }
}

static void readLoad(MemberReader& reader, UpstreamLoad& load)
{
    const auto* value = reader.object.if_contains("load");
    if (!value)
        return;
    if (!value->is_object())
        return reader.recordProblem("load", "an object");
    MemberReader loadReader { value->get_object(), "load.", {} };
    loadReader.count("running", load.running);
    loadReader.count("waiting", load.waiting);
    loadReader.count("capacity", load.capacity);
    loadReader.count("cached_tokens", load.cachedTokens);
    loadReader.count("waiting_tokens", load.waitingTokens);
    loadReader.number("tokens_per_second", load.tokensPerSecond);
    loadReader.number("prefill_tokens_per_second", load.prefillTokensPerSecond);
    if (!loadReader.problem.empty() && reader.problem.empty())
        reader.problem = loadReader.problem;
}

Result<Announcement> parseAnnouncement(std::string_view body)
{
    json::error_code ec;
    const json::value root = json::parse(body, ec);
    if (ec || !root.is_object())
        return fail(ErrorCode::Invalid, Step::Announce, "upstream", "the body is not a JSON object");
    MemberReader reader { root.get_object(), {}, {} };
    Announcement out;
    reader.text("id", out.name, true);
    reader.text("address", out.address, true);
    reader.text("domain", out.domain, true);
    reader.text("machine", out.machine, true);
    reader.enumeration("kind", out.kind);
    reader.text(out.kind == UpstreamKind::Service ? "service" : "model", out.model, true);
    reader.text("version", out.version, false);
    readAdapters(reader, out.adapters);
    reader.enumeration("role", out.role);
    reader.boolean("checks_fencing", out.checksFencing);
    reader.boolean("reclaimable", out.reclaimable);
    reader.boolean("leaving", out.leaving);
    if (const auto* value = root.get_object().if_contains("reclaim_in_ms"); value && !value->is_null()) {
        if (!value->is_int64() || value->get_int64() < 0 || value->get_int64() > 86400000)
            reader.recordProblem("reclaim_in_ms", "a whole number of milliseconds up to 86400000, or null");
        else
            out.reclaimIn = TimeMs { value->get_int64() };
    }
    reader.count("incarnation", out.incarnation);
    reader.count("sequence", out.sequence);
    readLoad(reader, out.load);
    if (!reader.problem.empty())
        return fail(ErrorCode::Invalid, Step::Announce, out.name.empty() ? "upstream" : out.name, reader.problem);
    return out;
}

std::string toJson(const Announcement& a)
{
    json::object load {
        { "running", a.load.running }, { "waiting", a.load.waiting }, { "capacity", a.load.capacity }, { "cached_tokens", a.load.cachedTokens },
        { "waiting_tokens", a.load.waitingTokens }, { "tokens_per_second", a.load.tokensPerSecond }, { "prefill_tokens_per_second", a.load.prefillTokensPerSecond }
    };
    json::object out {
        { "id", a.name }, { "address", a.address }, { "domain", a.domain }, { "machine", a.machine }, { "kind", nameOf(a.kind) },
        { a.kind == UpstreamKind::Service ? "service" : "model", a.model }, { "adapters", json::value_from(a.adapters) }, { "role", nameOf(a.role) },
        { "checks_fencing", a.checksFencing }, { "reclaimable", a.reclaimable }, { "leaving", a.leaving }, { "incarnation", a.incarnation },
        { "sequence", a.sequence }, { "load", std::move(load) }
    };
    if (!a.version.empty())
        out["version"] = a.version;
    out["reclaim_in_ms"] = a.reclaimIn ? json::value(a.reclaimIn->value) : json::value(nullptr);
    return json::serialize(out);
}

}
