#include "cli/replyjson.h"

#include "settings/jsontext.h"

#include <iostream>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

leaf::result<Json> anyBody(const VmReply &reply, const std::string &step)
{
    auto body = readJson(reply.response.body);
    auto *json = std::get_if<Json>(&body);
    if (json != nullptr && json->is_object())
        return std::move(*json);
    return leaf::new_error(CliError{{step, reply.peer, "the answer is not a JSON object"},
                                    "the address may belong to another program",
                                    ExitCode::NoAnswer});
}

leaf::result<Json> successBody(const VmReply &reply, const std::string &step)
{
    BOOST_LEAF_AUTO(body, anyBody(reply, step));
    const auto status = reply.response.status;
    if (status >= 200 && status < 300)
        return body;
    const auto detail = body.contains("error") ? cell(body, "error") : "status " + std::to_string(status);
    return leaf::new_error(CliError{{step, reply.peer, detail}, "", ExitCode::Refused});
}

std::string cell(const Json &object, const char *name)
{
    const auto it = object.find(name);
    if (it == object.end() || it->is_null())
        return {};
    return it->is_string() ? it->get<std::string>() : it->dump();
}

void printJson(const Json &document)
{
    std::cout << document.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
}

} // namespace Citronpitch
