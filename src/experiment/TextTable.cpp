#include "experiment/TextTable.h"

#include <algorithm>

namespace siskinshunt {

std::string formatTable(const std::vector<TextRow>& rows, bool leftAligned)
{
    std::vector<size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (size_t n = 0; n < row.size(); ++n)
            widths[n] = std::max(widths[n], row[n].size());
    }
    std::string out;
    for (const auto& row : rows) {
        std::string line;
        for (size_t n = 0; n < row.size(); ++n) {
            const std::string gap(widths[n] - row[n].size(), ' ');
            line += n == 0 ? "" : "  ";
            line += n == 0 || leftAligned ? row[n] + gap : gap + row[n];
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + "\n";
    }
    return out;
}

static bool isTable(const Json& value)
{
    return value.kind == Json::Kind::Array && !value.items.empty()
        && std::all_of(value.items.begin(), value.items.end(), [](const Json& it) { return it.kind == Json::Kind::Object; });
}

static std::string renderList(const Json& list)
{
    TextRow head;
    for (const auto& item : list.items) {
        for (const auto& [key, value] : item.members) {
            if (std::find(head.begin(), head.end(), key) == head.end())
                head.push_back(key);
        }
    }
    std::vector<TextRow> rows { head };
    for (const auto& item : list.items) {
        TextRow row;
        for (const auto& key : head)
            row.push_back(item.has(key) ? toPlainText(item[key]) : "-");
        rows.push_back(std::move(row));
    }
    return formatTable(rows, true);
}

static void collect(const Json& object, const std::string& prefix, std::vector<TextRow>& scalars, std::string& tables)
{
    for (const auto& [key, value] : object.members) {
        const auto name = prefix + key;
        if (value.kind == Json::Kind::Object)
            collect(value, name + ".", scalars, tables);
        else if (isTable(value))
            tables += "\n" + name + ":\n" + renderList(value);
        else if (value.text.find('\n') != std::string::npos)
            tables += "\n" + name + ":\n" + value.text + (value.text.ends_with('\n') ? "" : "\n");
        else
            scalars.push_back({ name, toPlainText(value) });
    }
}

std::string renderAsText(const Json& value)
{
    if (isTable(value))
        return renderList(value);
    if (value.kind != Json::Kind::Object)
        return toPlainText(value) + "\n";
    std::vector<TextRow> scalars;
    std::string tables;
    collect(value, "", scalars, tables);
    auto out = formatTable(scalars, true) + tables;
    if (out.starts_with('\n'))
        out.erase(0, 1);
    return out;
}

static std::vector<std::string_view> linesOf(std::string_view text)
{
    std::vector<std::string_view> out;
    while (!text.empty()) {
        const auto end = text.find('\n');
        out.push_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return out;
}

std::string diffLines(std::string_view before, std::string_view after)
{
    const auto a = linesOf(before);
    const auto b = linesOf(after);
    // common[i][j] is the length of the longest common subsequence of a[i..] and b[j..].
    std::vector<std::vector<uint32_t>> common(a.size() + 1, std::vector<uint32_t>(b.size() + 1));
    for (size_t i = a.size(); i-- > 0;) {
        for (size_t j = b.size(); j-- > 0;)
            common[i][j] = a[i] == b[j] ? common[i + 1][j + 1] + 1 : std::max(common[i + 1][j], common[i][j + 1]);
    }
    std::string out;
    for (size_t i = 0, j = 0; i < a.size() || j < b.size();) {
        if (i < a.size() && j < b.size() && a[i] == b[j]) {
            ++i;
            ++j;
        } else if (j == b.size() || (i < a.size() && common[i + 1][j] >= common[i][j + 1])) {
            out.append("- ").append(a[i++]).append("\n");
        } else {
            out.append("+ ").append(b[j++]).append("\n");
        }
    }
    return out;
}

}
