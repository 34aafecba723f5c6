#include "explain/Explain.h"

#include <algorithm>
#include <tuple>

namespace siskinshunt {

/// Truncates at a UTF-8 character boundary, because the text is sent as JSON.
static void truncateUtf8(std::string& text, size_t limit)
{
    if (text.size() <= limit)
        return;
    size_t n = limit;
    while (n > 0 && (static_cast<unsigned char>(text[n]) & 0xc0) == 0x80)
        --n;
    text.resize(n);
    text.shrink_to_fit();
}

ExplainRing::ExplainRing(NodeId node, ExplainLimits limits)
    : m_node(node)
    , m_limits(limits)
{
    m_limits.records = std::max<size_t>(m_limits.records, 1);
}

const DecisionRecord& ExplainRing::at(size_t age) const
{
    return m_records[(m_next + m_records.size() - 1 - age) % m_records.size()];
}

void ExplainRing::add(DecisionRecord record)
{
    if (record.subjects.size() > m_limits.subjects)
        record.subjects.resize(m_limits.subjects);
    for (auto& it : record.subjects)
        truncateUtf8(it.id, m_limits.subjectBytes);
    truncateUtf8(record.rule.text, m_limits.ruleBytes);
    truncateUtf8(record.rule.person, m_limits.personBytes);
    truncateUtf8(record.text, m_limits.textBytes);
    record.node = m_node;
    record.sequence = ++m_sequence;
    if (!m_records.empty())
        record.at = std::max(record.at, at(0).at);
    if (m_records.size() < m_limits.records) {
        m_records.push_back(std::move(record));
        m_next = m_records.size() % m_limits.records;
        return;
    }
    ++m_overwritten;
    m_records[m_next] = std::move(record);
    m_next = (m_next + 1) % m_limits.records;
}

std::vector<DecisionRecord> ExplainRing::find(std::string_view id, size_t limit) const
{
    // Stored subject ids are truncated, so the key has to be truncated too.
    std::string key(id);
    truncateUtf8(key, m_limits.subjectBytes);
    std::vector<DecisionRecord> found;
    for (size_t age = 0; age < m_records.size() && found.size() < limit; ++age) {
        const auto& record = at(age);
        if (std::any_of(record.subjects.begin(), record.subjects.end(), [&](const auto& it) { return it.id == key; }))
            found.push_back(record);
    }
    std::reverse(found.begin(), found.end());
    return found;
}

std::vector<DecisionRecord> ExplainRing::latest(size_t limit) const
{
    std::vector<DecisionRecord> found;
    for (size_t age = std::min(limit, m_records.size()); age > 0; --age)
        found.push_back(at(age - 1));
    return found;
}

std::vector<DecisionRecord> mergeDecisions(const std::vector<std::vector<DecisionRecord>>& answers, size_t limit)
{
    std::vector<DecisionRecord> all;
    for (const auto& answer : answers)
        all.insert(all.end(), answer.begin(), answer.end());
    const auto order = [](const DecisionRecord& it) { return std::tuple(it.at, it.node, it.sequence); };
    std::sort(all.begin(), all.end(), [&](const auto& a, const auto& b) { return order(a) < order(b); });
    all.erase(std::unique(all.begin(), all.end(), [&](const auto& a, const auto& b) { return order(a) == order(b); }), all.end());
    if (all.size() > limit)
        all.erase(all.begin(), all.end() - static_cast<std::ptrdiff_t>(limit));
    return all;
}

std::string toString(const DecisionRecord& record)
{
    std::string out(nameOf(record.code));
    for (const auto& it : record.subjects)
        out += " " + std::string(nameOf(it.kind)) + "=" + it.id;
    if (!record.text.empty())
        out += ": " + record.text;
    if (record.rule.line)
        out += " (rules line " + std::to_string(record.rule.line) + ", " + record.rule.person + ": " + record.rule.text + ")";
    return out;
}

}
