#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// Name and value of a header field or query parameter.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/// Request passed to an HttpHandler; path and query are percent-decoded.
struct HttpRequest
{
    std::string method;
    std::string path;
    std::vector<HttpHeader> query;
    std::vector<HttpHeader> headers;
    std::string body;
    std::string remoteAddress;

    /// Returns the value of header @p name (case-insensitive), or nullptr.
    const std::string *findHeader(std::string_view name) const;
    /// Returns the value of query parameter @p name (case-insensitive), or nullptr.
    const std::string *findQuery(std::string_view name) const;
};

/// Response of an HttpHandler.
struct HttpResponse
{
    int status = 200;
    std::string body;
    std::vector<HttpHeader> headers;
    std::string contentType = "application/json";
};

/// Sends the response. To be called once, on the event loop, during or after the handler call; no effect if
/// the connection is closed.
using HttpResponder = std::function<void(HttpResponse)>;

/// Called when the connection is closed before the response was sent.
using DisconnectHandler = std::function<void()>;

/// Handles one request. Returns the function to call if the connection is closed before the response.
using HttpHandler = std::function<DisconnectHandler(const HttpRequest &, HttpResponder)>;

/// Whether a request is handled whose connection the remote side has closed before the request was read.
enum class AbandonedRequests { Handled, Dropped };

/// Sets path and query of @p request from a request target. Returns false if the target is malformed.
bool parseTarget(std::string_view target, HttpRequest &request);

/// Percent-encodes @p text for a path; unreserved characters and "/" are kept.
std::string percentEncode(std::string_view text);

} // namespace Citronpitch
