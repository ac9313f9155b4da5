#include "forwarding_messages.hpp"

#include <cstdint>

namespace teaseldrift::relay {

namespace {

constexpr size_t lengthBytes = 4;
constexpr unsigned bitsPerByte = 8;

/// Larger than any part: a head, or data as it was read from a socket.
constexpr size_t maxPartBytes = 16U << 20U;

template <typename Message>
void addHeaders(Message &message, const http::Headers &headers)
{
    for (const http::Header &header : headers) {
        schema::ForwardedHeader &added = *message.add_headers();
        added.set_name(header.name);
        added.set_value(header.value);
    }
}

template <typename Message>
http::Headers headersOf(const Message &message)
{
    http::Headers headers;
    for (const schema::ForwardedHeader &header : message.headers()) {
        headers.push_back({.name = header.name(), .value = header.value()});
    }
    return headers;
}

size_t readLength(std::string_view bytes)
{
    size_t length = 0;
    for (size_t i = 0; i < lengthBytes; ++i) {
        length = (length << bitsPerByte) | static_cast<unsigned char>(bytes[i]);
    }
    return length;
}

} // namespace

schema::ForwardedRequest writeForwardedRequest(std::string_view targetId,
                                               std::string_view targetAddress,
                                               const http::Request &request,
                                               http::ConnectionUse use)
{
    schema::ForwardedRequest message;
    message.set_target(std::string(targetId));
    message.set_target_address(std::string(targetAddress));
    message.set_method(request.method);
    message.set_path(request.path);
    message.set_authority(request.authority);
    addHeaders(message, request.headers);
    message.set_body(request.body);
    message.set_use_fresh_connection(use == http::ConnectionUse::Fresh);
    return message;
}

http::Request readForwardedRequest(const schema::ForwardedRequest &message)
{
    return {.method = message.method(),
            .path = message.path(),
            .authority = message.authority(),
            .headers = headersOf(message),
            .body = message.body()};
}

schema::ForwardedHead writeForwardedHead(const http::ResponseHead &head)
{
    schema::ForwardedHead message;
    message.set_status(head.status);
    addHeaders(message, head.headers);
    return message;
}

http::ResponseHead readForwardedHead(const schema::ForwardedHead &message)
{
    return {.status = message.status(), .headers = headersOf(message)};
}

void appendPart(std::string &out, const schema::ForwardedResponsePart &part)
{
    const size_t length = part.ByteSizeLong();
    for (size_t i = 0; i < lengthBytes; ++i) {
        const size_t shift = (lengthBytes - 1 - i) * bitsPerByte;
        out += static_cast<char>(static_cast<unsigned char>(length >> shift));
    }
    part.AppendToString(&out);
}

bool ForwardedPartReader::append(std::string_view data, const Handler &onPart)
{
    m_bytes += data;
    size_t begin = 0;
    while (m_bytes.size() - begin >= lengthBytes) {
        const size_t length = readLength(std::string_view(m_bytes).substr(begin));
        if (length > maxPartBytes) {
            return false;
        }
        if (m_bytes.size() - begin - lengthBytes < length) {
            break;
        }
        schema::ForwardedResponsePart part;
        if (!part.ParseFromArray(m_bytes.data() + begin + lengthBytes, static_cast<int>(length))) {
            return false;
        }
        begin += lengthBytes + length;
        onPart(part);
    }
    m_bytes.erase(0, begin);
    return true;
}

} // namespace teaseldrift::relay
