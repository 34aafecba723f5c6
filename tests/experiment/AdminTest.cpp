#include "experiment/AdminClient.h"
#include "experiment/Commands.h"
#include "experiment/TextTable.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

// Guards against exit codes that tell a script "ok" when a request was refused or nobody answered.
BOOST_AUTO_TEST_CASE(exitCodesFollowTheAnswer)
{
    const auto codeOf = [](int status) { return exitOf({ .status = status }); };
    BOOST_TEST(codeOf(200) == exits::ok);
    BOOST_TEST(codeOf(409) == exits::no);
    BOOST_TEST(codeOf(404) == exits::no);
    BOOST_TEST(codeOf(400) == exits::usage);
    BOOST_TEST(codeOf(401) == exits::usage);
    BOOST_TEST(codeOf(503) == exits::unreachable);
    BOOST_TEST(codeOf(0) == exits::unreachable);
}

// Guards against an apply whose lost answer is taken for the end, or whose conflict is sent again.
BOOST_AUTO_TEST_CASE(lostAnswersAreAskedAgainAndConflictsAreNot)
{
    BOOST_TEST(mayAskAgain(HttpEnd::Cut, 0));
    BOOST_TEST(mayAskAgain(HttpEnd::Timeout, 0));
    BOOST_TEST(mayAskAgain(HttpEnd::Complete, 503));
    BOOST_TEST(!mayAskAgain(HttpEnd::Complete, 409));
    BOOST_TEST(!mayAskAgain(HttpEnd::Complete, 200));
}

// Guards against fields of an answer that the output for people leaves out.
BOOST_AUTO_TEST_CASE(everyFieldOfAnAnswerIsShown)
{
    const auto json = parseJson(R"({"revision":7,"leader":{"name":"n1"},"nodes":[{"name":"a","confirmed":7},{"name":"b","late":true}],"text":"one\ntwo"})", "t").value();
    BOOST_TEST(renderForPeople(json) == "revision     7\nleader.name  n1\n\nnodes:\nname  confirmed  late\na     7          -\nb     -          true\n\ntext:\none\ntwo\n");
}

// Guards against a diff that calls different rules equal.
BOOST_AUTO_TEST_CASE(diffShowsChangedLinesOnly)
{
    BOOST_TEST(diffLines("a\nb\nc\n", "a\nb\nc\n").empty());
    BOOST_TEST(diffLines("a\nb\nc\n", "a\nx\nc\nd\n") == "- b\n+ x\n+ d\n");
    BOOST_TEST(diffLines("", "a\n") == "+ a\n");
}
