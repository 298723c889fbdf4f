#include "settings/jsonobjectreader.h"

#include <algorithm>

namespace Citronpitch {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

JsonObjectReader::JsonObjectReader(const Json &object, std::string step, std::string path)
    : m_object(object)
    , m_step(std::move(step))
    , m_path(std::move(path))
{
}

leaf::result<void>
JsonObjectReader::rejectUnknownFields(std::initializer_list<std::string_view> allowed) const
{
    if (!m_object.is_object())
        return error("an object is expected");
    for (const auto &[name, value] : m_object.items()) {
        if (std::find(allowed.begin(), allowed.end(), name) == allowed.end())
            return error("unknown field \"" + name + "\"");
    }
    return {};
}

leaf::result<std::string> JsonObjectReader::requiredText(const char *name) const
{
    BOOST_LEAF_ASSIGN(auto value, optionalText(name));
    if (value.empty())
        return error(std::string("field \"") + name + "\" must be a non-empty string");
    return value;
}

leaf::result<std::string> JsonObjectReader::optionalText(const char *name) const
{
    const auto *field = find(name);
    if (field == nullptr)
        return std::string();
    if (!field->is_string())
        return error(std::string("field \"") + name + "\" must be a string");
    return field->get<std::string>();
}

leaf::result<std::uint64_t> JsonObjectReader::optionalNumber(const char *name, std::uint64_t defaultValue,
                                                             std::uint64_t minimum,
                                                             std::uint64_t maximum) const
{
    return find(name) == nullptr ? defaultValue : requiredNumber(name, minimum, maximum);
}

leaf::result<std::uint64_t> JsonObjectReader::requiredNumber(const char *name, std::uint64_t minimum,
                                                             std::uint64_t maximum) const
{
    const auto *field = find(name);
    const bool isNumber = field != nullptr && field->is_number_unsigned();
    if (!isNumber || field->get<std::uint64_t>() < minimum || field->get<std::uint64_t>() > maximum)
        return error(std::string("field \"") + name + "\" must be a whole number from "
                     + std::to_string(minimum) + " to " + std::to_string(maximum));
    return field->get<std::uint64_t>();
}

leaf::result<bool> JsonObjectReader::flag(const char *name) const
{
    const auto *field = find(name);
    if (field == nullptr)
        return false;
    if (!field->is_boolean())
        return error(std::string("field \"") + name + "\" must be true or false");
    return field->get<bool>();
}

const Json *JsonObjectReader::find(const char *name) const
{
    const auto it = m_object.find(name);
    return it == m_object.end() ? nullptr : &*it;
}

leaf::error_id JsonObjectReader::error(std::string what) const
{
    return leaf::new_error(StepError{m_step, m_path, shortened(std::move(what))});
}

leaf::result<Json> parseJson(std::string_view text, const std::string &step, JsonComments comments)
{
    auto parsed = readJson(text, comments);
    if (auto *error = std::get_if<JsonTextError>(&parsed)) {
        const auto where = error->byte > 0 ? ", byte " + std::to_string(error->byte) : std::string();
        return leaf::new_error(StepError{step, "body" + where, std::move(error->reason)});
    }
    return std::move(std::get<Json>(parsed));
}

} // namespace Citronpitch
