#include "net/httpclient.h"

#include <getopt.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace Citronpitch;

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr auto requestTimeout = std::chrono::seconds(60);

/// What the command line asked for.
struct Arguments
{
    Endpoint endpoint{"127.0.0.1", 7000};
    std::string team;
    std::string key;
    std::string command;
    std::vector<std::string> rest;
};

void printHelp()
{
    std::cout << "usage: citronpitch [--vm ADDRESS:PORT] [--team NAME] [--key KEY] COMMAND\n"
                 "  submit FILE   submit the job in FILE and wait for its answer\n"
                 "  answer KEY    fetch the answer of a key\n"
                 "  cancel KEY    cancel the job of a key\n"
                 "  status        state of an entry VM (its control port)\n"
                 "  upstreams     upstreams that an entry VM knows (its control port)\n";
}

bool parseEndpoint(const std::string &text, Endpoint &endpoint)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    const int port = std::atoi(text.c_str() + colon + 1);
    if (port <= 0 || port > 65535)
        return false;
    endpoint = {text.substr(0, colon), static_cast<std::uint16_t>(port)};
    return true;
}

int send(const Arguments &arguments, ClientRequest request)
{
    boost::asio::io_context io;
    HttpClient client(io);
    int exitCode = exitFailure;
    request.timeout = requestTimeout;
    client.send(arguments.endpoint, request, [&](const ClientResponse &response) {
        if (response.end != ExchangeEnd::Answered) {
            std::cerr << "citronpitch: request: " << arguments.endpoint.address << ":"
                      << arguments.endpoint.port << ": no answer\n";
        } else {
            std::cout << response.response.body << "\n";
            exitCode = response.response.status < 300 ? 0 : exitFailure;
        }
        io.stop();
    });
    io.run();
    return exitCode;
}

int submit(const Arguments &arguments)
{
    std::ifstream file(arguments.rest.empty() ? "/dev/stdin" : arguments.rest.front());
    if (!file) {
        std::cerr << "citronpitch: submit: " << arguments.rest.front() << ": the file can't be read\n";
        return exitFailure;
    }
    std::ostringstream body;
    body << file.rdbuf();
    ClientRequest request;
    request.method = "POST";
    request.target = "/v1/jobs";
    request.body = body.str();
    if (!arguments.key.empty())
        request.headers.push_back({"Idempotency-Key", arguments.key});
    return send(arguments, request);
}

int forKey(const Arguments &arguments, const std::string &method)
{
    if (arguments.rest.empty() || arguments.team.empty()) {
        std::cerr << "citronpitch: " << arguments.command << ": a key and --team are needed\n";
        return exitUsage;
    }
    ClientRequest request;
    request.method = method;
    request.target =
        "/v1/jobs/" + percentEncode(arguments.rest.front()) + "?team=" + percentEncode(arguments.team);
    return send(arguments, request);
}

int run(const Arguments &arguments)
{
    if (arguments.command == "submit")
        return submit(arguments);
    if (arguments.command == "answer")
        return forKey(arguments, "GET");
    if (arguments.command == "cancel")
        return forKey(arguments, "DELETE");
    ClientRequest request;
    if (arguments.command == "status" || arguments.command == "upstreams") {
        request.target = "/v1/" + arguments.command;
        return send(arguments, request);
    }
    printHelp();
    return exitUsage;
}

} // namespace

int main(int argc, char **argv)
{
    const option options[] = {{"vm", required_argument, nullptr, 'v'},
                              {"team", required_argument, nullptr, 't'},
                              {"key", required_argument, nullptr, 'k'},
                              {"help", no_argument, nullptr, 'h'},
                              {nullptr, 0, nullptr, 0}};
    Arguments arguments;
    for (int it = getopt_long(argc, argv, "v:t:k:h", options, nullptr); it != -1;
         it = getopt_long(argc, argv, "v:t:k:h", options, nullptr)) {
        if (it == 'h') {
            printHelp();
            return 0;
        }
        if (it == 't')
            arguments.team = optarg;
        else if (it == 'k')
            arguments.key = optarg;
        else if (it != 'v' || !parseEndpoint(optarg, arguments.endpoint))
            return exitUsage;
    }
    if (optind < argc)
        arguments.command = argv[optind++];
    arguments.rest.assign(argv + optind, argv + argc);
    return run(arguments);
}
