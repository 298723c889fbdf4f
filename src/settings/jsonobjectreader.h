#pragma once

#include "citronpitch/steperror.h"

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Citronpitch {

/**
 * @brief Reads the fields of one JSON object of a request and reports where a field is wrong.
 *
 * Every error is a StepError with the step and the path given to the constructor. Used by the interfaces of
 * callers, upstreams and operators.
 */
class JsonObjectReader
{
public:
    /// @p object must outlive the reader; @p path names it in errors, such as "tasks[3]".
    JsonObjectReader(const nlohmann::json &object, std::string step, std::string path);

    /// Fails where the value is not an object, or has a field that is not among @p allowed.
    boost::leaf::result<void> rejectUnknownFields(std::initializer_list<std::string_view> allowed) const;

    /// A text that must be there and must not be empty.
    boost::leaf::result<std::string> requiredText(const char *name) const;

    /// A text that may be missing or empty.
    boost::leaf::result<std::string> optionalText(const char *name) const;

    /// A whole number from @p minimum to @p maximum; @p defaultValue where the field is missing.
    boost::leaf::result<std::uint64_t> optionalNumber(const char *name, std::uint64_t defaultValue,
                                                      std::uint64_t minimum, std::uint64_t maximum) const;

    /// A whole number from @p minimum to @p maximum that must be there.
    boost::leaf::result<std::uint64_t> requiredNumber(const char *name, std::uint64_t minimum,
                                                      std::uint64_t maximum) const;

    /// True or false; false where the field is missing.
    boost::leaf::result<bool> flag(const char *name) const;

    /// The field, or null where it is missing.
    const nlohmann::json *find(const char *name) const;

    /// A StepError about this object.
    boost::leaf::error_id error(std::string what) const;

private:
    const nlohmann::json &m_object;
    std::string m_step;
    std::string m_path;
};

/// Parses @p text as JSON; the error names the byte and the reason.
boost::leaf::result<nlohmann::json> parseJson(const std::string &text, const std::string &step);

} // namespace Citronpitch
