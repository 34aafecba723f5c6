#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/TimeMs.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

/// Stable codes of decisions; names never change once released.
enum class DecisionCode : uint8_t {
    Route,
    Refuse,
    Retry,
    Hedge,
    Resume,
    Cancel,
    Eject,
    Readmit,
    Trip,
    MoveStep,
    Order,
    OrderRefused,
    StartInstance,
    StopInstance,
    StartRefused,
    Shortfall, ///< Demand that the allowed instances cannot meet.
    Drain,
    Takeover,
    OutcomeUnknown,
    ApplyRules,
    MemberDown,
};

template <>
inline constexpr auto enumNames<DecisionCode> = std::to_array<EnumName<DecisionCode>>({
    { DecisionCode::Route, "route" },
    { DecisionCode::Refuse, "refuse" },
    { DecisionCode::Retry, "retry" },
    { DecisionCode::Hedge, "hedge" },
    { DecisionCode::Resume, "resume" },
    { DecisionCode::Cancel, "cancel" },
    { DecisionCode::Eject, "eject" },
    { DecisionCode::Readmit, "readmit" },
    { DecisionCode::Trip, "trip" },
    { DecisionCode::MoveStep, "move_step" },
    { DecisionCode::Order, "order" },
    { DecisionCode::OrderRefused, "order_refused" },
    { DecisionCode::StartInstance, "start_instance" },
    { DecisionCode::StopInstance, "stop_instance" },
    { DecisionCode::StartRefused, "start_refused" },
    { DecisionCode::Shortfall, "shortfall" },
    { DecisionCode::Drain, "drain" },
    { DecisionCode::Takeover, "takeover" },
    { DecisionCode::OutcomeUnknown, "outcome_unknown" },
    { DecisionCode::ApplyRules, "apply_rules" },
    { DecisionCode::MemberDown, "member_down" },
});

enum class SubjectKind : uint8_t {
    Call,
    Move,
    Instance,
    Upstream,
    Node,
    Rules,
};

template <>
inline constexpr auto enumNames<SubjectKind> = std::to_array<EnumName<SubjectKind>>({
    { SubjectKind::Call, "call" },
    { SubjectKind::Move, "move" },
    { SubjectKind::Instance, "instance" },
    { SubjectKind::Upstream, "upstream" },
    { SubjectKind::Node, "node" },
    { SubjectKind::Rules, "rules" },
});

/// What a decision is about, with the id or name that operators use to look it up.
struct DecisionSubject {
    SubjectKind kind = SubjectKind::Call;
    std::string id;

    template <class Archive>
    void serialize(Archive& archive) { archive(kind, id); }
    bool operator==(const DecisionSubject&) const = default;
};

/// The rule behind a decision and who requested it. Line 0: a built-in default instead of a rule.
struct RuleReference {
    int32_t line = 0;
    std::string person;
    std::string text;

    template <class Archive>
    void serialize(Archive& archive) { archive(line, person, text); }
    bool operator==(const RuleReference&) const = default;
};

struct DecisionRecord {
    TimeMs at; ///< UTC since 1970.
    NodeId node;
    uint64_t sequence = 0; ///< Orders the records of a node.
    DecisionCode code = DecisionCode::Route;
    std::vector<DecisionSubject> subjects; ///< For example a call and the upstream that it was sent to.
    RuleReference rule;
    std::string text;

    template <class Archive>
    void serialize(Archive& archive) { archive(at, node, sequence, code, subjects, rule, text); }
    bool operator==(const DecisionRecord&) const = default;
};

/// Longer strings are truncated, which limits a record to about 1 KB.
struct ExplainLimits {
    size_t records = 8192;
    size_t subjects = 4;
    size_t subjectBytes = 64;
    size_t ruleBytes = 160;
    size_t personBytes = 64;
    size_t textBytes = 240;
};

/// Fixed-size ring buffer of the latest decisions of one node.
class ExplainRing {
public:
    explicit ExplainRing(NodeId node, ExplainLimits limits = {});

    /// Sets node and sequence and truncates long fields. A time before that of the previous record, caused by a clock
    /// that was set back, is raised to it, so that the decisions of a node stay in order.
    void add(DecisionRecord);

    /// The latest `limit` records about the id, oldest first. Matches subjects of any kind, because `explain ID` names none.
    std::vector<DecisionRecord> find(std::string_view id, size_t limit = 200) const;
    /// The latest records, oldest first.
    std::vector<DecisionRecord> latest(size_t limit) const;

    size_t size() const { return m_records.size(); }
    uint64_t overwritten() const { return m_overwritten; }

private:
    const DecisionRecord& at(size_t age) const; ///< 0 is the latest.

    NodeId m_node;
    ExplainLimits m_limits;
    std::vector<DecisionRecord> m_records;
    size_t m_next = 0;
    uint64_t m_sequence = 0;
    uint64_t m_overwritten = 0;
};

/// Merges the records of several nodes, sorted by time, node and sequence, without duplicates. Keeps the latest `limit`.
std::vector<DecisionRecord> mergeDecisions(const std::vector<std::vector<DecisionRecord>>&, size_t limit = 1000);

/// Human-readable line: code, subjects, text, rule line and person. The caller formats the time.
std::string toString(const DecisionRecord&);

}
