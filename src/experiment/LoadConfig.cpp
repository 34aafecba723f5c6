#include "experiment/LoadConfig.h"

#include "experiment/Fields.h"

namespace siskinshunt {

static LoadTokenRange readRange(Fields& fields, const std::string& key, LoadTokenRange defaultValue)
{
    constexpr int64_t maxTokens = 1000000;
    const auto& items = fields.items(key);
    if (items.empty())
        return defaultValue;
    const bool good = items.size() == 2 && items[0].asInt() >= 1 && items[0].asInt() <= items[1].asInt() && items[1].asInt() <= maxTokens;
    if (!good) {
        fields.report(key, "must be [LOW, HIGH] with 1 <= LOW <= HIGH <= 1000000");
        return defaultValue;
    }
    return { static_cast<uint32_t>(items[0].asInt()), static_cast<uint32_t>(items[1].asInt()) };
}

static size_t findAccount(Fields& fields, const LoadConfig& config)
{
    const auto name = fields.requiredText("account");
    for (size_t n = 0; n < config.accounts.size(); ++n) {
        if (config.accounts[n].name == name)
            return n;
    }
    fields.report("account", "must name one of the accounts");
    return 0;
}

static LoadMix readMix(Fields& fields, const LoadConfig& config)
{
    LoadMix out;
    out.name = fields.requiredText("name");
    out.account = findAccount(fields, config);
    out.className = fields.text("class", "");
    out.path = fields.text("path", "/v1/chat/completions");
    out.service = out.path.starts_with("/services/");
    if (!out.path.starts_with('/'))
        fields.report("path", "must start with /");
    out.model = fields.text("model", "");
    out.ratePerSecond = fields.number("rate_per_s", 0, 1e6, 1);
    out.prompt = readRange(fields, "prompt_tokens", { 100, 100 });
    out.answer = readRange(fields, "answer_tokens", { 20, 20 });
    out.sharedPrefixTokens = static_cast<uint32_t>(fields.integer("shared_prefix_tokens", 0, 1000000, 0));
    out.sharedPrefixes = static_cast<uint32_t>(fields.integer("shared_prefixes", 1, 1000000, 1));
    out.stream = fields.flag("stream", false);
    out.once = fields.number("once", 0, 1, 0);
    out.leave = fields.number("leave", 0, 1, 0);
    out.deadline = fields.time("deadline_ms", 1, 3600000, out.deadline);
    fields.finish();
    return out;
}

Result<LoadConfig> parseLoadConfig(const Json& json, const std::string& file)
{
    std::string error;
    LoadConfig out;
    Fields fields(json, file, error);
    out.control = fields.address("control", false);
    out.callers = static_cast<uint32_t>(fields.integer("callers", 1, 100000, out.callers));
    out.useEntries = fields.flag("use_entries", out.useEntries);
    out.attempts = static_cast<uint32_t>(fields.integer("attempts", 1, 100, out.attempts));
    out.retryShare = fields.number("retry_share", 0, 1, out.retryShare);
    out.backoff = fields.time("backoff_ms", 1, 60000, out.backoff);
    for (const auto& it : fields.items("accounts")) {
        Fields inner(it, fields.pathOfKey("accounts"), error);
        out.accounts.push_back({ .name = inner.requiredText("name"), .token = inner.requiredText("token") });
        inner.finish();
    }
    for (const auto& it : fields.items("mixes")) {
        Fields inner(it, fields.pathOfKey("mixes") + "[" + std::to_string(out.mixes.size()) + "]", error);
        out.mixes.push_back(readMix(inner, out));
    }
    if (out.mixes.empty())
        fields.report("mixes", "must contain at least one mix");
    fields.finish();
    if (!error.empty())
        return fail(ErrorCode::Invalid, Step::ReadSettings, {}, error);
    return out;
}

}
