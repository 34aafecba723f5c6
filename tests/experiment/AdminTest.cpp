#include "experiment/AdminClient.h"
#include "experiment/Commands.h"
#include "experiment/TextTable.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace siskinshunt;

namespace {

struct Printed {
    int code = 0;
    std::string out;
};

}

// Runs `rules check` on a temporary file with this text; the path of the file is replaced by FILE in the output.
static Printed checkText(const std::string& text, std::vector<std::string> more = {})
{
    const auto path = std::filesystem::temp_directory_path() / "siskinshunt-admin-test.rules";
    std::ofstream(path) << text;
    std::ostringstream out;
    auto* const before = std::cout.rdbuf(out.rdbuf());
    std::vector<std::string> arguments { "check", path.string() };
    arguments.insert(arguments.end(), more.begin(), more.end());
    Printed printed { .code = runRulesCommand(arguments) };
    std::cout.rdbuf(before);
    std::filesystem::remove(path);
    printed.out = out.str();
    for (size_t at; (at = printed.out.find(path.string())) != std::string::npos;)
        printed.out.replace(at, path.string().size(), "FILE");
    return printed;
}

// Guards against exit code 0 when a request was refused or no node answered.
BOOST_AUTO_TEST_CASE(exitCodesFollowTheAnswer)
{
    const auto codeOf = [](int status) { return exitCodeOf({ .status = status }); };
    BOOST_TEST(codeOf(200) == exit_codes::ok);
    BOOST_TEST(codeOf(409) == exit_codes::negative);
    BOOST_TEST(codeOf(404) == exit_codes::negative);
    BOOST_TEST(codeOf(400) == exit_codes::usage);
    BOOST_TEST(codeOf(401) == exit_codes::usage);
    BOOST_TEST(codeOf(503) == exit_codes::unreachable);
    BOOST_TEST(codeOf(0) == exit_codes::unreachable);
}

// Guards against an apply that is not retried after a lost answer, or that is retried after a conflict.
BOOST_AUTO_TEST_CASE(lostAnswersAreRetriedAndConflictsAreNot)
{
    BOOST_TEST(canRetryRequest(HttpEnd::Cut, 0));
    BOOST_TEST(canRetryRequest(HttpEnd::Timeout, 0));
    BOOST_TEST(canRetryRequest(HttpEnd::Complete, 503));
    BOOST_TEST(!canRetryRequest(HttpEnd::Complete, 409));
    BOOST_TEST(!canRetryRequest(HttpEnd::Complete, 200));
}

// Guards against fields of an answer that are missing in the text output.
BOOST_AUTO_TEST_CASE(everyFieldOfAnAnswerIsShown)
{
    const auto json = parseJson(R"({"revision":7,"leader":{"name":"n1"},"nodes":[{"name":"a","confirmed":7},{"name":"b","late":true}],"text":"one\ntwo"})", "t").value();
    BOOST_TEST(renderAsText(json) == "revision     7\nleader.name  n1\n\nnodes:\nname  confirmed  late\na     7          -\nb     -          true\n\ntext:\none\ntwo\n");
}

// Guards against a diff that reports different rules as equal.
BOOST_AUTO_TEST_CASE(diffShowsChangedLinesOnly)
{
    BOOST_TEST(diffLines("a\nb\nc\n", "a\nb\nc\n").empty());
    BOOST_TEST(diffLines("a\nb\nc\n", "a\nx\nc\nd\n") == "- b\n+ x\n+ d\n");
    BOOST_TEST(diffLines("", "a\n") == "+ a\n");
}

static constexpr const char* goodRules = "class chat priority=1 deadline=60s # Ann: people wait\n"
                                         "route chat model=m class=chat repeat=yes # Ann: all chats\n"
                                         "route other model=n repeat=yes # Ann: the rest\n";

// Guards against a check that accepts a file which an apply would refuse, or that stops at the first problem.
BOOST_AUTO_TEST_CASE(checkPrintsEveryProblemOfARulesFile)
{
    const auto printed = checkText("class chat priority=12 deadline=60s # Ann: people wait\nroute chat model=m repeat=yes\n");
    BOOST_TEST(printed.code == exit_codes::negative);
    BOOST_TEST(printed.out == "FILE:1:21: priority='12': expected a whole number from 0 (first) to 9 (last)\n"
                              "FILE:2:30: expected a comment '# PERSON: reason' that says who asked for the rule\n");
}

// Guards against wrong rule counts.
BOOST_AUTO_TEST_CASE(checkCountsTheRulesOfAValidFile)
{
    const auto printed = checkText(goodRules);
    BOOST_TEST(printed.code == exit_codes::ok);
    BOOST_TEST(printed.out == "FILE: valid; rules: 3, class 1, route 2\n");
}

// Guards against JSON output that differs in content from the text output.
BOOST_AUTO_TEST_CASE(checkAnswersInJson)
{
    const auto good = checkText(goodRules, { "--json" });
    BOOST_TEST(good.code == exit_codes::ok);
    BOOST_TEST(good.out == "{\"file\":\"FILE\",\"valid\":true,\"rules\":{\"class\":1,\"route\":2},\"problems\":[]}\n");
    const auto bad = checkText("drain d # Ann: reason\n", { "--json" });
    BOOST_TEST(bad.code == exit_codes::negative);
    BOOST_TEST(bad.out.find("\"problems\":[{\"line\":1,\"column\":7,\"message\":\"drain 'd' lacks within=") != std::string::npos);
}

// Guards against a missing file or a directory that is reported as a valid file without rules.
BOOST_AUTO_TEST_CASE(checkRejectsUnreadableFiles)
{
    BOOST_TEST(runRulesCommand({ "check", "/nonexistent.rules" }) == exit_codes::usage);
    BOOST_TEST(runRulesCommand({ "check", std::filesystem::temp_directory_path().string() }) == exit_codes::usage);
}
