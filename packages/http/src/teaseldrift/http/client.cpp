#include "teaseldrift/http/client.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>

#include "native.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::http {

struct Call::Native
{
    EventLoop *loop = nullptr;
    h2o_http1client_t *client = nullptr;
    h2o_socket_cb pausedReader = nullptr;
    std::string wire;
    Duration silence{0};
    h2o_iovec_t wireVector{};
    CallHandlers handlers;
    EventLoop::TimerId connectTimer = 0;
    bool methodIsHead = false;
    bool sent = false;
    bool starting = true;
    bool inCallback = false;
    bool cancelled = false;
    bool ended = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    void end(CallEnd how);
    void cancel();
    bool deliverInput();
};

namespace {

std::string serialize(const Endpoint &endpoint, const Request &request, ConnectionUse use)
{
    std::string wire = request.method + " " + request.path
                       + " HTTP/1.1\r\nhost: "
                       + (request.authority.empty() ? toString(endpoint) : request.authority)
                       + "\r\n";
    for (const Header &header : request.headers) {
        wire += header.name + ": " + header.value + "\r\n";
    }
    if (use == ConnectionUse::Fresh) {
        wire += "connection: close\r\n";
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        wire += "content-length: " + std::to_string(request.body.size()) + "\r\n";
    }
    wire += "\r\n";
    wire += request.body;
    return wire;
}

Call::Native &nativeOf(h2o_http1client_t *client)
{
    return *static_cast<Call::Native *>(client->data);
}

bool isError(const char *error)
{
    return error != nullptr && error != h2o_http1client_error_is_eos;
}

int onBody(h2o_http1client_t *client, const char *error)
{
    constexpr int closeConnection = -1;
    Call::Native &call = nativeOf(client);
    if (isError(error)) {
        // What is left in the buffer may be raw chunk framing, so it is dropped.
        call.client = nullptr;
        call.end(CallEnd::Broken);
        return closeConnection;
    }
    if (!call.deliverInput()) {
        return closeConnection;
    }
    if (error == h2o_http1client_error_is_eos) {
        call.client = nullptr;
        call.end(CallEnd::Complete);
    }
    return 0;
}

h2o_http1client_body_cb onHead(h2o_http1client_t *client, const char *error, int /*minorVersion*/,
                               int status, h2o_iovec_t /*reason*/, h2o_header_t *headers,
                               size_t headerCount, int /*headLength*/)
{
    Call::Native &call = nativeOf(client);
    if (isError(error)) {
        call.client = nullptr;
        call.end(CallEnd::Broken);
        return nullptr;
    }
    const ResponseHead head{.status = status, .headers = toHeaders(headers, headerCount)};
    const std::shared_ptr<bool> alive = call.alive;
    call.inCallback = true;
    call.handlers.onHead(head);
    if (!*alive) {
        return nullptr;
    }
    call.inCallback = false;
    if (error == h2o_http1client_error_is_eos) {
        call.client = nullptr;
        call.end(CallEnd::Complete);
        return nullptr;
    }
    return onBody;
}

h2o_http1client_head_cb onConnect(h2o_http1client_t *client, const char *error,
                                  h2o_iovec_t **buffers, size_t *bufferCount, int *methodIsHead)
{
    Call::Native &call = nativeOf(client);
    call.loop->cancelTimer(call.connectTimer);
    if (error != nullptr) {
        call.client = nullptr;
        call.end(CallEnd::NotSent);
        return nullptr;
    }
    if (call.silence > Duration(0)) {
        boundSilence(h2o_socket_get_fd(client->sock), call.silence);
    }
    call.sent = true;
    if (call.handlers.onSent) {
        call.handlers.onSent();
    }
    call.wireVector = toIovec(call.wire);
    *buffers = &call.wireVector;
    *bufferCount = 1;
    *methodIsHead = call.methodIsHead ? 1 : 0;
    return onHead;
}

} // namespace

/// @return false if the call was destroyed by its handler, and the connection must be closed
bool Call::Native::deliverInput()
{
    h2o_buffer_t **input = &client->sock->input;
    if ((*input)->size == 0) {
        return true;
    }
    const size_t size = (*input)->size;
    const std::shared_ptr<bool> stillAlive = alive;
    inCallback = true;
    handlers.onData({(*input)->bytes, size});
    if (!*stillAlive) {
        return false;
    }
    inCallback = false;
    h2o_buffer_consume(input, size);
    return true;
}

void Call::Native::end(CallEnd how)
{
    if (ended) {
        return;
    }
    ended = true;
    if (starting) {
        // Handlers never run inside start().
        loop->post([stillAlive = alive, this, how] {
            if (*stillAlive) {
                handlers.onEnd(how);
            }
        });
        return;
    }
    // The handler may destroy this call, so it runs from a copy.
    const std::function<void(CallEnd)> onEnd = handlers.onEnd;
    onEnd(how);
}

void Call::Native::cancel()
{
    *alive = false;
    loop->cancelTimer(connectTimer);
    if (client != nullptr && !inCallback) {
        h2o_http1client_cancel(client);
    }
    client = nullptr;
}

Call::Call(std::unique_ptr<Native> native) : m_native(std::move(native)) { }

Call::~Call()
{
    m_native->cancel();
}

void Call::pause()
{
    if (m_native->client == nullptr || m_native->client->sock == nullptr
        || !h2o_socket_is_reading(m_native->client->sock)) {
        return;
    }
    m_native->pausedReader = m_native->client->sock->_cb.read;
    h2o_socket_read_stop(m_native->client->sock);
}

void Call::resume()
{
    if (m_native->client == nullptr || m_native->pausedReader == nullptr) {
        return;
    }
    h2o_socket_read_start(m_native->client->sock, m_native->pausedReader);
    m_native->pausedReader = nullptr;
}

bool Call::maybeSent() const
{
    return m_native->sent;
}

struct Client::Native
{
    EventLoop *loop = nullptr;
    ClientOptions options;
    h2o_timeout_t ioTimeout{};
    h2o_http1client_ctx_t context{};
    std::map<Endpoint, std::unique_ptr<h2o_socketpool_t>> pools;

    h2o_socketpool_t *poolFor(const Endpoint &endpoint);
};

h2o_socketpool_t *Client::Native::poolFor(const Endpoint &endpoint)
{
    std::unique_ptr<h2o_socketpool_t> &pool = pools[endpoint];
    if (pool == nullptr) {
        pool = std::make_unique<h2o_socketpool_t>();
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
        h2o_socketpool_init_by_address(pool.get(), reinterpret_cast<sockaddr *>(&address),
                                       sizeof(address), 0, SIZE_MAX);
        h2o_socketpool_set_timeout(pool.get(), loop->native().loop,
                                   toMilliseconds(options.keepAlive));
    }
    return pool.get();
}

Client::Client(EventLoop &loop, ClientOptions options) : m_native(std::make_unique<Native>())
{
    m_native->loop = &loop;
    m_native->options = options;
    h2o_timeout_init(loop.native().loop, &m_native->ioTimeout, toMilliseconds(options.ioTimeout));
    m_native->context.loop = loop.native().loop;
    m_native->context.getaddr_receiver = &loop.native().resolver;
    m_native->context.io_timeout = &m_native->ioTimeout;
}

Client::~Client()
{
    for (auto it = m_native->pools.begin(); it != m_native->pools.end(); ++it) {
        h2o_socketpool_dispose(it->second.get());
    }
    h2o_timeout_dispose(m_native->loop->native().loop, &m_native->ioTimeout);
}

std::unique_ptr<Call> Client::start(const Endpoint &endpoint, Request request, ConnectionUse use,
                                    CallHandlers handlers)
{
    std::unique_ptr<Call::Native> native = std::make_unique<Call::Native>();
    Call::Native *call = native.get();
    call->loop = m_native->loop;
    call->handlers = std::move(handlers);
    call->silence = m_native->options.silence;
    call->methodIsHead = request.method == "HEAD";
    call->wire = serialize(endpoint, request, use);
    std::unique_ptr<Call> result = std::make_unique<Call>(std::move(native));
    call->connectTimer = m_native->loop->startTimer(m_native->options.connectTimeout, [call] {
        if (call->client == nullptr) {
            return;
        }
        h2o_http1client_cancel(call->client);
        call->client = nullptr;
        call->end(CallEnd::NotSent);
    });
    if (use == ConnectionUse::Pooled) {
        h2o_http1client_connect_with_pool(&call->client, call, &m_native->context,
                                          m_native->poolFor(endpoint), onConnect);
    } else {
        h2o_http1client_connect(&call->client, call, &m_native->context, toIovec(endpoint.address),
                                endpoint.port, 0, onConnect);
    }
    call->starting = false;
    return result;
}

void Client::forget(const Endpoint &endpoint)
{
    const auto found = m_native->pools.find(endpoint);
    if (found == m_native->pools.end()) {
        return;
    }
    h2o_socketpool_dispose(found->second.get());
    m_native->pools.erase(found);
}

} // namespace teaseldrift::http
