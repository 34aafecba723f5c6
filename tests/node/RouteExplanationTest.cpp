#include "ForwardFixture.h"

#include <boost/json.hpp>

using namespace siskinshunt;

namespace json = boost::json;

namespace {

struct ExplainingNode : ForwardNode {
    ExplainingNode()
    {
        node->options.settings.operators = { { "omar", sha256Hex("omar") } };
        node->options.settings.listeners.forward = { "127.0.0.1", 8081 };
    }

    // Status and body of the answer to an operator with this token.
    std::pair<int, std::string> ask(const std::string& query, const std::string& token = "omar")
    {
        Inputs inputs;
        inputs.requests.push_back({ ++exchange, { "GET", "/admin/explain-route?" + query, { { "Authorization", "Bearer " + token } }, {} }, "127.0.0.9:1", ListenerKind::Main });
        run(std::move(inputs));
        return answer();
    }

    json::object explained(const std::string& query)
    {
        const auto [status, body] = ask(query);
        BOOST_REQUIRE_MESSAGE(status == 200, status << " " << body);
        return json::parse(body).as_object();
    }
};

}

BOOST_AUTO_TEST_SUITE(routeExplanation)

// Guards against an explanation that differs from what the node then does, and against one that sends the request.
BOOST_AUTO_TEST_CASE(namesTheUpstreamThatTheNextRequestGoesTo)
{
    ExplainingNode it;
    for (const char* name : { "lm-1", "lm-2", "lm-3" })
        it.addUpstream(name, "lm");
    for (int n = 0; n < 6; ++n) {
        const size_t sent = it.dispatches.size();
        const auto body = it.explained("host=h&path=%2Fplan%2Fx");
        BOOST_TEST(it.dispatches.size() == sent);
        std::string chosen;
        for (const auto& candidate : body.at("candidates").as_array()) {
            if (candidate.at("chosen").as_bool())
                chosen = candidate.at("upstream").as_string().c_str();
        }
        it.post("/plan/x");
        BOOST_REQUIRE(it.dispatches.size() == sent + 1);
        const auto* target = findTarget(it.node->forward.targets, idOfName<UpstreamId>(chosen));
        BOOST_REQUIRE(target);
        BOOST_TEST(it.last().address == target->address);
    }
}

// Guards against candidates that are left out, or excluded without a reason, and against a missing person behind the rule.
BOOST_AUTO_TEST_CASE(saysWhatExcludesACandidateAndWhoAskedForTheRule)
{
    ExplainingNode it;
    it.addUpstream("desk-1", "desk");
    it.addUpstream("desk-2", "desk", 1, true);
    const auto body = it.explained("host=h&path=%2Flook%2Fx");
    BOOST_TEST(body.at("route_origin").at("asked_by").as_string() == "Asma");
    const auto& candidates = body.at("candidates").as_array();
    BOOST_REQUIRE(candidates.size() == 2U);
    for (const auto& candidate : candidates)
        BOOST_TEST((candidate.at("excluded").as_string() == (candidate.at("upstream").as_string() == "desk-2" ? "leaving" : "-")));
    BOOST_TEST(body.at("backends").at(0).at("outcome").as_string() == "sent");
}

// Guards against a verdict of "sent" for a request that no upstream can take.
BOOST_AUTO_TEST_CASE(tellsThatARequestWouldBeRefused)
{
    ExplainingNode it;
    it.addUpstream("desk-2", "desk", 1, true);
    const auto body = it.explained("host=h&path=%2Flook%2Fx");
    BOOST_TEST(body.at("backends").at(0).at("outcome").as_string() == "no_upstream");
}

// Guards against answers to callers who are no operators, and against a crash on malformed queries.
BOOST_AUTO_TEST_CASE(refusesStrangersAndMalformedQueries)
{
    ExplainingNode it;
    BOOST_TEST(it.ask("host=h&path=%2Flook%2Fx", "stranger").first == 401);
    for (const char* query : { "", "host=h", "host=h&path=%2Fnowhere%2F", "host=h&path=%2Fplan%2Fx&parts=zz", "host=h&path=%2Fplan%2Fx&prompt_tokens=-1", "host=h&path=%2Fplan%2Fx&account=nobody" })
        BOOST_TEST(it.ask(query).first == 400, query);
}

BOOST_AUTO_TEST_SUITE_END()
