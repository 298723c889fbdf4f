#pragma once

#include "citronpitch/steperror.h"

#include "settings/jsontext.h"

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Citronpitch {

/**
 * @brief Reads and validates the fields of one JSON object of a request.
 *
 * Each error is a StepError with the step and the path given to the constructor. Used by the HTTP APIs of
 * callers, upstreams and operators.
 */
class JsonObjectReader
{
public:
    /// @p object must outlive the reader; @p path is its path in error messages, such as "tasks[3]".
    JsonObjectReader(const nlohmann::json &object, std::string step, std::string path);

    /// Fails if the value is not an object or has a field that is not in @p allowed.
    boost::leaf::result<void> rejectUnknownFields(std::initializer_list<std::string_view> allowed) const;

    /// Returns a required, non-empty string.
    boost::leaf::result<std::string> requiredText(const char *name) const;

    /// Returns an optional string; empty if the field is missing.
    boost::leaf::result<std::string> optionalText(const char *name) const;

    /// Returns an integer from @p minimum to @p maximum; @p defaultValue if the field is missing.
    boost::leaf::result<std::uint64_t> optionalNumber(const char *name, std::uint64_t defaultValue,
                                                      std::uint64_t minimum, std::uint64_t maximum) const;

    /// Returns a required integer from @p minimum to @p maximum.
    boost::leaf::result<std::uint64_t> requiredNumber(const char *name, std::uint64_t minimum,
                                                      std::uint64_t maximum) const;

    /// Returns a boolean; false if the field is missing.
    boost::leaf::result<bool> flag(const char *name) const;

    /// Returns the field, or nullptr if it is missing.
    const nlohmann::json *find(const char *name) const;

    /// Creates a StepError for this object.
    boost::leaf::error_id error(std::string what) const;

private:
    const nlohmann::json &m_object;
    std::string m_step;
    std::string m_path;
};

/// Parses @p text as readJson() does; the error is a StepError with the byte, if known, and the reason.
boost::leaf::result<nlohmann::json> parseJson(std::string_view text, const std::string &step,
                                              JsonComments comments = JsonComments::Rejected);

} // namespace Citronpitch
