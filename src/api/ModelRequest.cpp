#include "api/ModelRequest.h"

#include "base/PrefixHash.h"

#include <algorithm>
#include <boost/json.hpp>

namespace siskinshunt {

namespace json = boost::json;

static constexpr int64_t maxTokensLimit = 1 << 20;

static json::value parseJson(std::string_view body, uint32_t maxDepth, json::error_code& ec)
{
    json::parse_options options;
    options.max_depth = maxDepth;
    return json::parse(body, ec, {}, options);
}

static auto invalidRequest(std::string detail)
{
    return fail(ErrorCode::Invalid, Step::Accept, "caller", std::move(detail));
}

// Appends the text of a message content: a string, or a list of parts with an optional "text" member.
static bool appendContent(const json::value& content, std::string& prompt)
{
    if (content.is_string()) {
        prompt += std::string_view(content.get_string());
        return true;
    }
    if (content.is_null())
        return true;
    if (!content.is_array())
        return false;
    for (const auto& part : content.get_array()) {
        const auto* object = part.if_object();
        const auto* text = object ? object->if_contains("text") : nullptr;
        if (text && text->is_string())
            prompt += std::string_view(text->get_string());
    }
    return true;
}

static bool appendMessages(const json::value* messages, std::string& prompt)
{
    if (!messages || !messages->is_array() || messages->get_array().empty())
        return false;
    for (const auto& message : messages->get_array()) {
        const auto* object = message.if_object();
        const auto* role = object ? object->if_contains("role") : nullptr;
        const auto* content = object ? object->if_contains("content") : nullptr;
        if (!role || !role->is_string() || !content)
            return false;
        if (&message != &messages->get_array().front())
            prompt += '\n';
        if (!appendContent(*content, prompt))
            return false;
    }
    return true;
}

static bool readMaxTokens(const json::object& object, uint32_t& target)
{
    for (const char* key : { "max_completion_tokens", "max_tokens" }) {
        const auto* value = object.if_contains(key);
        if (!value || value->is_null())
            continue;
        if (!value->is_int64() || value->get_int64() < 1 || value->get_int64() > maxTokensLimit)
            return false;
        target = static_cast<uint32_t>(value->get_int64());
        return true;
    }
    return true;
}

Result<ModelRequest> parseModelRequest(std::string_view path, std::string_view body, uint32_t maxDepth)
{
    json::error_code ec;
    const json::value root = parseJson(body, maxDepth, ec);
    if (ec)
        return invalidRequest("the body is not JSON: " + ec.message());
    const auto* object = root.if_object();
    if (!object)
        return invalidRequest("the body is not a JSON object");
    ModelRequest out;
    const auto* model = object->if_contains("model");
    if (!model || !model->is_string() || model->get_string().empty())
        return invalidRequest("\"model\" is missing or not a string");
    out.model = std::string_view(model->get_string());
    if (const auto* stream = object->if_contains("stream"); stream && !stream->is_null()) {
        if (!stream->is_bool())
            return invalidRequest("\"stream\" is not true or false");
        out.stream = stream->get_bool();
    }
    if (!readMaxTokens(*object, out.maxTokens))
        return invalidRequest("\"max_tokens\" is not a whole number from 1 to 1048576");
    if (path == "/v1/chat/completions") {
        if (!appendMessages(object->if_contains("messages"), out.prompt))
            return invalidRequest("\"messages\" is not a non-empty list of objects with \"role\" and \"content\"");
    } else {
        const auto* prompt = object->if_contains("prompt");
        if (!prompt || !prompt->is_string())
            return invalidRequest("\"prompt\" is missing or not a string");
        out.prompt = std::string_view(prompt->get_string());
    }
    out.promptTokens = estimateTokens(out.prompt);
    return out;
}

std::string withResume(std::string_view body, uint64_t offset, std::string_view text)
{
    json::error_code ec;
    json::value root = json::parse(body, ec);
    if (ec || !root.is_object())
        return std::string(body);
    root.get_object()["resume"] = json::object { { "offset", offset }, { "text", text } };
    return json::serialize(root);
}

std::string extractEventText(std::string_view data)
{
    json::error_code ec;
    const json::value root = json::parse(data, ec);
    if (ec)
        return {};
    for (const char* pointer : { "/choices/0/delta/content", "/choices/0/text" }) {
        const auto* text = root.find_pointer(pointer, ec);
        if (text && text->is_string())
            return std::string(text->get_string());
    }
    return {};
}

static uint64_t countAt(const json::value& root, const char* pointer)
{
    json::error_code ec;
    const auto* value = root.find_pointer(pointer, ec);
    return value && value->is_int64() && value->get_int64() > 0 ? static_cast<uint64_t>(value->get_int64()) : 0;
}

bool parseUsage(std::string_view body, Usage& usage)
{
    if (body.find("\"usage\"") == std::string_view::npos)
        return false;
    json::error_code ec;
    const json::value root = json::parse(body, ec);
    if (ec || !root.find_pointer("/usage", ec) || !root.at_pointer("/usage").is_object())
        return false;
    usage.promptTokens = countAt(root, "/usage/prompt_tokens");
    usage.completionTokens = countAt(root, "/usage/completion_tokens");
    usage.cachedTokens = std::max(countAt(root, "/usage/cached_tokens"), countAt(root, "/usage/prompt_tokens_details/cached_tokens"));
    return true;
}

}
