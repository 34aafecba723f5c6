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
    Shortfall, ///< Capacity that no allowed instance can supply.
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

/// What a decision is about, by the id or name under which operators ask for it.
struct DecisionSubject {
    SubjectKind kind = SubjectKind::Call;
    std::string id;

    template <class Archive>
    void serialize(Archive& archive) { archive(kind, id); }
    bool operator==(const DecisionSubject&) const = default;
};

/// The rule behind a decision and who asked for it. Line 0: no rule, a built-in default.
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
    uint64_t sequence = 0; ///< Order within the node.
    DecisionCode code = DecisionCode::Route;
    std::vector<DecisionSubject> subjects; ///< For example a call and the upstream that it went to.
    RuleReference rule;
    std::string text;

    template <class Archive>
    void serialize(Archive& archive) { archive(at, node, sequence, code, subjects, rule, text); }
    bool operator==(const DecisionRecord&) const = default;
};

/// Longer strings are cut, so that a record takes at most about 1 KB.
struct ExplainLimits {
    size_t records = 8192;
    size_t subjects = 4;
    size_t subjectBytes = 64;
    size_t ruleBytes = 160;
    size_t personBytes = 64;
    size_t textBytes = 240;
};

/// The last decisions of one node in fixed memory; the oldest is overwritten.
class ExplainRing {
public:
    explicit ExplainRing(NodeId node, ExplainLimits limits = {});

    /// Sets node and sequence and cuts what is too long. A time before that of the previous record, from a clock that
    /// was set back, is raised to it: the order of one node's decisions never changes.
    void add(DecisionRecord);

    /// Records about the id, oldest first, the latest `limit` of them. Kinds are not told apart, as `explain ID` is not.
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

/// One list of the answers of several nodes, by time, then node, then each node's own order; an answer that came twice
/// counts once. Keeps the latest `limit`.
std::vector<DecisionRecord> mergeDecisions(const std::vector<std::vector<DecisionRecord>>&, size_t limit = 1000);

/// One line for people: code, subjects, text, rule line and person. The time is the caller's to format.
std::string toString(const DecisionRecord&);

}
