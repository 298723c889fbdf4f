#include "cli/command.h"
#include "cli/newid.h"
#include "cli/replyjson.h"
#include "cli/texttable.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

ExitCode exitCodeOf(const Json &answer)
{
    const auto outcome = cell(answer, "outcome");
    if (outcome == "complete")
        return ExitCode::Done;
    if (outcome == "pending")
        return ExitCode::Pending;
    if (outcome == "unknown")
        return ExitCode::NoAnswer;
    return outcome == "failed" ? ExitCode::Failed : ExitCode::Refused;
}

std::string adviceFor(ExitCode code)
{
    switch (code) {
    case ExitCode::Pending:
        return "it goes on; ask later with citronpitch answer KEY --team TEAM";
    case ExitCode::NoAnswer:
        return "it may have run; ask again with the same key, never with a new one";
    case ExitCode::Refused:
        return "nothing was run; mend what is said above, or try again later with the same key";
    default:
        return "";
    }
}

void printAnswer(const Json &answer, ExitCode code)
{
    std::cout << "key " << cell(answer, "key") << ": " << cell(answer, "outcome");
    if (answer.contains("reason"))
        std::cout << " (" << cell(answer, "reason") << ")";
    std::cout << "\n";
    if (answer.contains("detail"))
        std::cout << cell(answer, "detail") << "\n";
    if (answer.contains("tasks")) {
        TextTable table({"task", "state", "status", "upstream", "result"});
        std::size_t n = 0;
        for (const auto &it : answer["tasks"])
            table.add({std::to_string(n++), cell(it, "state"), cell(it, "status"), cell(it, "upstream"),
                       cell(it, "result")});
        std::cout << table.text();
    }
    const auto advice = adviceFor(code);
    if (!advice.empty())
        std::cout << advice << "\n";
}

leaf::result<ExitCode> showAnswer(const VmReply &reply, const std::string &step, const CliOptions &options)
{
    BOOST_LEAF_AUTO(answer, anyBody(reply, step));
    if (!answer.contains("outcome")) {
        BOOST_LEAF_CHECK(successBody(reply, step));
        return leaf::new_error(
            CliError{{step, reply.peer, "the answer has no outcome"}, "", ExitCode::NoAnswer});
    }
    const auto code = exitCodeOf(answer);
    if (options.isGiven(CliOption::Json))
        printJson(answer);
    else
        printAnswer(answer, code);
    return code;
}

leaf::result<std::string> readJob(const Invocation &invocation)
{
    const auto path = invocation.arguments.empty() ? "/dev/stdin" : invocation.arguments.front();
    std::ifstream file(path);
    if (!file)
        return leaf::new_error(
            CliError{{"submit", path, "the file can't be read"}, "nothing was sent", ExitCode::Usage});
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

leaf::result<ExitCode> submit(const Invocation &invocation)
{
    const auto &options = invocation.options;
    BOOST_LEAF_AUTO(body, readJob(invocation));
    BOOST_LEAF_AUTO(client, VmClient::create(options, VmPort::Callers, "submit"));
    const auto key = options.key.empty() ? newId() : options.key;
    ClientRequest request;
    request.method = "POST";
    request.target = "/v1/jobs";
    request.body = body;
    request.headers.push_back({"Idempotency-Key", key});
    if (options.isGiven(CliOption::NoWait))
        request.headers.push_back({"Prefer", "respond-async"});
    // The new key carries its date, so that nothing has to be synced before its job starts.
    // It is said before it is sent, so that it is there when the answer is lost.
    std::cerr << "key " << key << "\n";
    BOOST_LEAF_AUTO(reply, client.ask(request));
    return showAnswer(reply, "submit", options);
}

leaf::result<ExitCode> askForKey(const Invocation &invocation, const std::string &step, const char *method)
{
    const auto &options = invocation.options;
    if (options.team.empty())
        return usageError(step, "--team is missing");
    BOOST_LEAF_AUTO(client, VmClient::create(options, VmPort::Callers, step));
    ClientRequest request;
    request.method = method;
    request.target =
        "/v1/jobs/" + percentEncode(invocation.arguments.front()) + "?team=" + percentEncode(options.team);
    if (options.isGiven(CliOption::Wait))
        request.target += "&wait=true";
    BOOST_LEAF_AUTO(reply, client.ask(request));
    return showAnswer(reply, step, options);
}

} // namespace

std::vector<Command> jobCommands()
{
    const std::vector<CliOption> asking{CliOption::Team, CliOption::Vm, CliOption::Timeout};
    return {
        {"submit",
         {"[FILE]"},
         "Submit the job in FILE, or on standard input, and wait for its answer.\n"
         "The key is printed first; submitting again with it never runs the job twice.\n"
         "--vm takes callers' addresses, port 7000 where none is given.",
         {CliOption::Key, CliOption::NoWait, CliOption::Vm, CliOption::Timeout},
         submit},
        {"answer",
         {"KEY"},
         "Fetch the answer of a key.",
         {CliOption::Team, CliOption::Wait, CliOption::Vm, CliOption::Timeout},
         [](const Invocation &invocation) { return askForKey(invocation, "answer", "GET"); }},
        {"cancel",
         {"KEY"},
         "Cancel the job of a key and show what had run.",
         asking,
         [](const Invocation &invocation) { return askForKey(invocation, "cancel", "DELETE"); }},
    };
}

} // namespace Citronpitch
