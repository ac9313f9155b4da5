#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "teaseldrift/http/client.hpp"
#include "teaseldrift/schema/forwarding.pb.h"

namespace teaseldrift::relay {

schema::ForwardedRequest writeForwardedRequest(std::string_view targetId,
                                               std::string_view targetAddress,
                                               const http::Request &request,
                                               http::ConnectionUse use);

http::Request readForwardedRequest(const schema::ForwardedRequest &message);

schema::ForwardedHead writeForwardedHead(const http::ResponseHead &head);
http::ResponseHead readForwardedHead(const schema::ForwardedHead &message);

/// @brief Appends a part, preceded by its length, to a response.
void appendPart(std::string &out, const schema::ForwardedResponsePart &part);

/// @brief Splits a response into its parts.
class ForwardedPartReader
{
public:
    using Handler = std::function<void(const schema::ForwardedResponsePart &)>;

    /// @brief Adds bytes of the response and reads the parts that are complete.
    /// @return false if they are not a valid response; nothing more is read then
    bool append(std::string_view data, const Handler &onPart);

private:
    std::string m_bytes;
};

} // namespace teaseldrift::relay
