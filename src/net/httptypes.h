#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// One header field of an HTTP message.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/// A request as a handler sees it; the target is split and percent-decoded.
struct HttpRequest
{
    std::string method;
    std::string path;
    std::vector<HttpHeader> query;
    std::vector<HttpHeader> headers;
    std::string body;
    std::string remoteAddress;

    /// Value of header @p name without regard to case, or null.
    const std::string *findHeader(std::string_view name) const;
    /// Value of query parameter @p name, or null.
    const std::string *findQuery(std::string_view name) const;
};

/// A response as a handler gives it.
struct HttpResponse
{
    int status = 200;
    std::string body;
    std::vector<HttpHeader> headers;
    std::string contentType = "application/json";
};

/// Sends the response; may be called once, from the event loop, at any later time.
using HttpResponder = std::function<void(HttpResponse)>;

/// Called when the connection is gone before the response was sent.
using DisconnectHandler = std::function<void()>;

/// Handles one request and returns what to call if the connection goes away first.
using HttpHandler = std::function<DisconnectHandler(const HttpRequest &, HttpResponder)>;

/// Fills path and query of @p request from a request target. Returns false where the target is malformed.
bool parseTarget(std::string_view target, HttpRequest &request);

/// @p text with every byte percent-encoded that may not stand in a path segment.
std::string percentEncode(std::string_view text);

} // namespace Citronpitch
