#include "teaseldrift/http/server.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/ssl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection_limiter_impl.hpp"
#include "event_loop_impl.hpp"
#include "teaseldrift/base/release_memory.hpp"
#include "teaseldrift/http/buffer_budget.hpp"
#include "teaseldrift/http/event_loop.hpp"

namespace teaseldrift::http {

struct Exchange::Impl
{
    struct Generator
    {
        h2o_generator_t base;
        Impl *owner;
    };

    h2o_req_t *request = nullptr;
    Headers headers;
    Generator generator{};
    std::string pending;
    std::string inFlight;
    Instant lastProgress{};
    bool streaming = false;
    bool sending = false;
    bool finishing = false;
    bool aborting = false;
    bool abortsWhenDrained = false;
    bool ended = false;
    size_t *openCount = nullptr;
    std::weak_ptr<Exchange> self;
    std::unique_ptr<BufferAccount> account;
    /// Null without a limiter, or if the limiter refused the request.
    std::unique_ptr<HandledRequest> handled;
    std::function<void()> onDrained;
    std::function<void()> onDisconnected;

    void send();
    void end(h2o_send_state_t state);
    void abortUnstarted();
    void setEnded();
    void requestEnded();
    [[nodiscard]] size_t bufferedBytes() const { return pending.capacity() + inFlight.capacity(); }
};

namespace {

/// Allocated in the request's memory pool; notifies the exchange when h2o frees the request.
struct RequestObserver
{
    Exchange::Impl *impl;
};

void onRequestFreed(void *memory)
{
    RequestObserver *observer = static_cast<RequestObserver *>(memory);
    if (observer->impl != nullptr) {
        observer->impl->requestEnded();
    }
}

void setHeaders(h2o_req_t *request, const Headers &headers)
{
    for (const Header &header : headers) {
        const h2o_iovec_t name = h2o_strdup(&request->pool, header.name.data(), header.name.size());
        const h2o_iovec_t value
                = h2o_strdup(&request->pool, header.value.data(), header.value.size());
        h2o_add_header_by_str(&request->pool, &request->res.headers, name.base, name.len, 1,
                              nullptr, value.base, value.len);
    }
}

int connectionDescriptor(h2o_req_t *request)
{
    h2o_socket_t *socket = request->conn->callbacks->get_socket(request->conn);
    return socket == nullptr ? -1 : h2o_socket_get_fd(socket);
}

void onProceed(h2o_generator_t *generator, h2o_req_t * /*request*/)
{
    Exchange::Impl &impl = *reinterpret_cast<Exchange::Impl::Generator *>(generator)->owner;
    const std::shared_ptr<Exchange> guard = impl.self.lock();
    impl.sending = false;
    releaseMemory(impl.inFlight);
    impl.lastProgress = EventLoop::now();
    impl.send();
    impl.account->set(impl.bufferedBytes());
    if (!impl.sending && !impl.ended && impl.onDrained) {
        const std::function<void()> callback = impl.onDrained;
        callback();
    }
}

void onStop(h2o_generator_t *generator, h2o_req_t * /*request*/)
{
    reinterpret_cast<Exchange::Impl::Generator *>(generator)->owner->requestEnded();
}

} // namespace

void Exchange::Impl::send()
{
    if (request == nullptr || sending || ended) {
        return;
    }
    if (aborting) {
        end(H2O_SEND_STATE_ERROR);
        return;
    }
    if (pending.empty()) {
        if (abortsWhenDrained) {
            aborting = true;
            end(H2O_SEND_STATE_ERROR);
        } else if (finishing) {
            end(H2O_SEND_STATE_FINAL);
        }
        return;
    }
    sending = true;
    inFlight.swap(pending);
    h2o_iovec_t buffer = toIovec(inFlight);
    if (finishing) {
        setEnded();
    }
    h2o_send(request, &buffer, 1, ended ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

void Exchange::Impl::end(h2o_send_state_t state)
{
    constexpr int http2 = 0x200;
    setEnded();
    if (state == H2O_SEND_STATE_ERROR && request->version < http2) {
        // h2o signals the error with a chunk that is not valid HTTP. Closing the connection is
        // enough to mark the response as incomplete, and keeps to the protocol.
        const int descriptor = connectionDescriptor(request);
        if (descriptor >= 0) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
    h2o_send(request, nullptr, 0, state);
}

void Exchange::Impl::setEnded()
{
    ended = true;
    if (handled) {
        handled->setResponded();
    }
}

/// h2o reads nothing from a connection while a handler has its request, so it does not detect that
/// the connection was shut down. The failed write of a response makes it free the connection.
void Exchange::Impl::abortUnstarted()
{
    constexpr int internalError = 500;
    request->http1_is_persistent = 0;
    request->res.status = internalError;
    request->res.reason = "";
    streaming = true;
    generator.base.proceed = onProceed;
    generator.base.stop = onStop;
    generator.owner = this;
    h2o_start_response(request, &generator.base);
    end(H2O_SEND_STATE_ERROR);
}

void Exchange::Impl::requestEnded()
{
    if (request == nullptr) {
        return;
    }
    request = nullptr;
    if (openCount != nullptr) {
        --*openCount;
    }
    handled.reset();
    const bool complete = ended && !aborting;
    ended = true;
    releaseMemory(pending);
    releaseMemory(inFlight);
    account->set(0);
    const std::function<void()> callback = std::move(onDisconnected);
    onDisconnected = nullptr;
    onDrained = nullptr;
    if (!complete && callback) {
        callback();
    }
}

Exchange::Exchange(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) { }

Exchange::~Exchange() = default;

std::string_view Exchange::method() const
{
    return m_impl->request == nullptr ? std::string_view() : toView(m_impl->request->method);
}

std::string_view Exchange::path() const
{
    return m_impl->request == nullptr ? std::string_view() : toView(m_impl->request->path);
}

std::string_view Exchange::authority() const
{
    return m_impl->request == nullptr ? std::string_view() : toView(m_impl->request->authority);
}

std::string_view Exchange::body() const
{
    return m_impl->request == nullptr ? std::string_view() : toView(m_impl->request->entity);
}

const Headers &Exchange::headers() const
{
    return m_impl->headers;
}

void Exchange::closeAfterResponse()
{
    if (m_impl->request != nullptr) {
        m_impl->request->http1_is_persistent = 0;
    }
}

void Exchange::respond(const Response &response)
{
    if (m_impl->request == nullptr || m_impl->streaming) {
        return;
    }
    m_impl->request->res.content_length = response.body.size();
    startStream(response.status, response.headers);
    m_impl->finishing = true;
    if (response.body.empty()) {
        m_impl->end(H2O_SEND_STATE_FINAL);
        return;
    }
    write(response.body);
}

void Exchange::startStream(int status, const Headers &headers)
{
    if (m_impl->request == nullptr || m_impl->streaming) {
        return;
    }
    h2o_req_t *request = m_impl->request;
    request->res.status = status;
    request->res.reason = "";
    setHeaders(request, headers);
    m_impl->streaming = true;
    m_impl->lastProgress = EventLoop::now();
    m_impl->generator.base.proceed = onProceed;
    m_impl->generator.base.stop = onStop;
    m_impl->generator.owner = m_impl.get();
    h2o_start_response(request, &m_impl->generator.base);
}

size_t Exchange::write(std::string_view data)
{
    if (m_impl->request == nullptr || m_impl->ended) {
        return 0;
    }
    // The callbacks of an aborted exchange may drop the last reference.
    const std::shared_ptr<Exchange> guard = m_impl->self.lock();
    m_impl->pending.append(data);
    m_impl->send();
    m_impl->account->set(m_impl->bufferedBytes());
    return pendingBytes();
}

void Exchange::finish()
{
    m_impl->finishing = true;
    m_impl->send();
}

void Exchange::abort()
{
    if (m_impl->request == nullptr || m_impl->ended) {
        return;
    }
    // The callbacks of the aborted exchange may drop the last reference.
    const std::shared_ptr<Exchange> guard = m_impl->self.lock();
    m_impl->aborting = true;
    releaseMemory(m_impl->pending);
    if (m_impl->sending) {
        // A write is blocked: only closing the connection ends it.
        const int descriptor = connectionDescriptor(m_impl->request);
        if (descriptor >= 0) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
        return;
    }
    if (!m_impl->streaming) {
        m_impl->abortUnstarted();
        return;
    }
    m_impl->send();
}

void Exchange::abortAfterWrites()
{
    if (!m_impl->streaming) {
        abort();
        return;
    }
    m_impl->abortsWhenDrained = true;
    m_impl->send();
}

size_t Exchange::pendingBytes() const
{
    return m_impl->pending.size() + m_impl->inFlight.size();
}

Instant Exchange::lastProgress() const
{
    return m_impl->lastProgress;
}

void Exchange::onDrained(std::function<void()> callback)
{
    m_impl->onDrained = std::move(callback);
}

void Exchange::onDisconnected(std::function<void()> callback)
{
    m_impl->onDisconnected = std::move(callback);
}

bool Exchange::isCallerDisconnected() const
{
    constexpr int http2 = 0x200;
    if (m_impl->request == nullptr) {
        return true;
    }
    const int descriptor = connectionDescriptor(m_impl->request);
    if (m_impl->request->version >= http2 || descriptor < 0) {
        return false;
    }
    char byte = 0;
    const ssize_t received = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR);
}

struct Server::Impl
{
    struct H2oHandler
    {
        h2o_handler_t base;
        Impl *owner;
    };

    struct H2oFilter
    {
        h2o_filter_t base;
        Impl *owner;
    };

    EventLoop *loop = nullptr;
    ServerOptions options;
    Handler handler;
    h2o_globalconf_t config{};
    h2o_context_t context{};
    h2o_accept_ctx_t acceptContext{};
    h2o_socket_t *listener = nullptr;
    SSL_CTX *tls = nullptr;
    uint16_t port = 0;
    size_t openExchanges = 0;
    ConnectionGroup connections;

    std::error_code loadCertificate();
};

namespace {

constexpr int listenBacklog = 4096;

/// Result of a strict server's check of a request head.
enum class HeadValidity {
    Valid,
    /// The body is chunked: data after it could be mistaken for another request.
    Chunked,
    Ambiguous,
};

bool equalsIgnoringCase(std::string_view text, std::string_view lowerCase)
{
    return text.size() == lowerCase.size()
           && std::equal(text.begin(), text.end(), lowerCase.begin(), [](char a, char b) {
                  return std::tolower(static_cast<unsigned char>(a)) == b;
              });
}

std::string_view trimmed(std::string_view text)
{
    const size_t begin = text.find_first_not_of(" \t\r");
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1);
}

bool isNumber(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char letter) {
        return std::isdigit(letter) != 0;
    });
}

/// Checks the raw bytes of the head, because h2o keeps only the last of several length headers.
HeadValidity validateHead(std::string_view bytes)
{
    size_t lengths = 0;
    size_t encodings = 0;
    size_t hosts = 0;
    size_t line = bytes.find('\n');
    while (line != std::string_view::npos) {
        const size_t end = bytes.find('\n', line + 1);
        if (end == std::string_view::npos) {
            break;
        }
        const std::string_view text = bytes.substr(line + 1, end - line - 1);
        line = end;
        if (text.empty() || text == "\r") {
            break;
        }
        const size_t colon = text.find(':');
        const std::string_view name = text.substr(0, colon);
        if (colon == std::string_view::npos || name.empty()
            || name.find_first_of(" \t\r") != std::string_view::npos
            || text.substr(0, text.size() - 1).find('\r') != std::string_view::npos) {
            return HeadValidity::Ambiguous;
        }
        const std::string_view value = trimmed(text.substr(colon + 1));
        if (equalsIgnoringCase(name, "content-length")) {
            ++lengths;
            if (!isNumber(value)) {
                return HeadValidity::Ambiguous;
            }
        } else if (equalsIgnoringCase(name, "transfer-encoding")) {
            ++encodings;
            if (!equalsIgnoringCase(value, "chunked")) {
                return HeadValidity::Ambiguous;
            }
        } else if (equalsIgnoringCase(name, "host")) {
            ++hosts;
        }
    }
    if (lengths + encodings > 1 || hosts > 1) {
        return HeadValidity::Ambiguous;
    }
    return encodings > 0 ? HeadValidity::Chunked : HeadValidity::Valid;
}

std::string_view inputBytes(h2o_req_t *request)
{
    h2o_socket_t *socket = request->conn->callbacks->get_socket(request->conn);
    if (socket == nullptr || socket->input == nullptr) {
        return {};
    }
    return {socket->input->bytes, socket->input->size};
}

struct ExchangeHolder
{
    RequestObserver observer;
    std::shared_ptr<Exchange> *exchange;
};

void onHolderFreed(void *memory)
{
    ExchangeHolder *holder = static_cast<ExchangeHolder *>(memory);
    onRequestFreed(&holder->observer);
    delete holder->exchange;
}

void refuseForOverload(Exchange &exchange)
{
    constexpr int unavailable = 503;
    exchange.closeAfterResponse();
    exchange.respond({.status = unavailable, .headers = {{"retry-after", "1"}}});
}

/// Adds the configured headers to error responses that h2o sends without calling the handler.
void onSetupErrorStream(h2o_filter_t *filter, h2o_req_t *request, h2o_ostream_t **slot)
{
    constexpr int firstError = 400;
    const ServerOptions &options
            = reinterpret_cast<Server::Impl::H2oFilter *>(filter)->owner->options;
    if (options.errorHeaders && request->res.status >= firstError) {
        setHeaders(request, options.errorHeaders(request->res.status));
    }
    h2o_setup_next_ostream(request, slot);
}

std::error_code lastError()
{
    return {errno, std::generic_category()};
}

} // namespace

std::error_code Server::Impl::loadCertificate()
{
    if (options.certificateFile.empty()) {
        return {};
    }
    tls = SSL_CTX_new(TLS_server_method());
    SSL_CTX_set_min_proto_version(tls, TLS1_2_VERSION);
    if (SSL_CTX_use_certificate_chain_file(tls, options.certificateFile.c_str()) != 1
        || SSL_CTX_use_PrivateKey_file(tls, options.keyFile.c_str(), SSL_FILETYPE_PEM) != 1) {
        return std::make_error_code(std::errc::invalid_argument);
    }
    h2o_ssl_register_alpn_protocols(tls, h2o_http2_alpn_protocols);
    return {};
}

Server::Server(EventLoop &loop, ServerOptions options, Handler handler)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->loop = &loop;
    m_impl->options = std::move(options);
    m_impl->handler = std::move(handler);
    h2o_config_init(&m_impl->config);
    m_impl->config.server_name = toIovec("teaseldrift");
    m_impl->config.max_request_entity_size = m_impl->options.maxBodyBytes;
    m_impl->config.http1.req_timeout = toMilliseconds(m_impl->options.requestTimeout);
    m_impl->config.http1.upgrade_to_http2 = m_impl->options.acceptsPlainHttp2 ? 1 : 0;
    m_impl->connections = {.name = m_impl->options.name,
                           .maxConnections = m_impl->options.maxConnections,
                           .bodyCopies = m_impl->options.bodyCopies};
    h2o_hostconf_t *host = h2o_config_register_host(&m_impl->config, toIovec("default"), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    Impl::H2oHandler *slot = reinterpret_cast<Impl::H2oHandler *>(
            h2o_create_handler(path, sizeof(Impl::H2oHandler)));
    slot->owner = m_impl.get();
    slot->base.on_req = [](h2o_handler_t *self, h2o_req_t *request) {
        Impl &server = *reinterpret_cast<Impl::H2oHandler *>(self)->owner;
        if (server.options.isStrict) {
            const HeadValidity validity = validateHead(inputBytes(request));
            if (validity != HeadValidity::Valid) {
                request->http1_is_persistent = 0;
            }
            if (validity == HeadValidity::Ambiguous) {
                h2o_send_error_400(request, "Bad Request", "bad request",
                                   H2O_SEND_ERROR_HTTP1_CLOSE_CONNECTION);
                return 0;
            }
        }
        ConnectionLimiter *limiter = server.options.limiter;
        std::unique_ptr<Exchange::Impl> impl = std::make_unique<Exchange::Impl>();
        impl->handled = limiter == nullptr ? nullptr : limiter->impl().admit(request);
        impl->request = request;
        impl->headers = toHeaders(request->headers.entries, request->headers.size);
        // h2o accepts paths over HTTP/2 that could not be passed on to a target over HTTP/1.1.
        if (!isToken(toView(request->method)) || !isRequestTarget(toView(request->path))
            || !areHeadersValid(impl->headers)) {
            h2o_send_error_400(request, "Bad Request", "bad request",
                               H2O_SEND_ERROR_HTTP1_CLOSE_CONNECTION);
            return 0;
        }
        impl->openCount = &server.openExchanges;
        ++server.openExchanges;
        Exchange::Impl *raw = impl.get();
        impl->account = std::make_unique<BufferAccount>(server.options.buffers, [raw] {
            if (const std::shared_ptr<Exchange> caller = raw->self.lock()) {
                caller->abort();
            }
        });
        std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>(std::move(impl));
        raw->self = exchange;
        ExchangeHolder *holder = static_cast<ExchangeHolder *>(
                h2o_mem_alloc_shared(&request->pool, sizeof(ExchangeHolder), onHolderFreed));
        holder->observer.impl = raw;
        holder->exchange = new std::shared_ptr<Exchange>(exchange);
        if (limiter != nullptr && !raw->handled) {
            refuseForOverload(*exchange);
            return 0;
        }
        server.handler(std::move(exchange));
        return 0;
    };
    Impl::H2oFilter *filter = reinterpret_cast<Impl::H2oFilter *>(
            h2o_create_filter(&host->fallback_path, sizeof(Impl::H2oFilter)));
    filter->owner = m_impl.get();
    filter->base.on_setup_ostream = onSetupErrorStream;
    h2o_context_init(&m_impl->context, loop.impl().loop, &m_impl->config);
    m_impl->acceptContext.ctx = &m_impl->context;
    m_impl->acceptContext.hosts = m_impl->config.hosts;
}

Server::~Server()
{
    stopAccepting();
}

std::error_code Server::listen()
{
    const std::error_code tlsError = m_impl->loadCertificate();
    if (tlsError) {
        return tlsError;
    }
    m_impl->acceptContext.ssl_ctx = m_impl->tls;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_impl->options.endpoint.port);
    if (inet_pton(AF_INET, m_impl->options.endpoint.address.c_str(), &address.sin_addr) != 1) {
        return std::make_error_code(std::errc::invalid_argument);
    }
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    ConnectionLimiter *limiter = m_impl->options.limiter;
    if (limiter != nullptr) {
        // Accepted connections inherit it.
        const int received = limiter->impl().receiveBufferBytes();
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &received, sizeof(received));
    }
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(descriptor, listenBacklog) != 0) {
        const std::error_code error = lastError();
        ::close(descriptor);
        return error;
    }
    socklen_t length = sizeof(address);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    m_impl->port = ntohs(address.sin_port);
    m_impl->listener = h2o_evloop_socket_create(m_impl->loop->impl().loop, descriptor,
                                                H2O_SOCKET_FLAG_DONT_READ);
    m_impl->listener->data = m_impl.get();
    h2o_socket_read_start(m_impl->listener, [](h2o_socket_t *listener, const char *error) {
        if (error != nullptr) {
            return;
        }
        constexpr int maxAcceptsPerEvent = 16;
        Impl &server = *static_cast<Impl *>(listener->data);
        for (int i = 0; i < maxAcceptsPerEvent; ++i) {
            h2o_socket_t *socket = h2o_evloop_socket_accept(listener);
            ConnectionLimiter *limiter = server.options.limiter;
            if (socket == nullptr) {
                if (limiter != nullptr) {
                    limiter->impl().countFailedAccept(errno);
                }
                return;
            }
            if (limiter != nullptr) {
                limiter->impl().add(socket, server.connections);
            }
            if (server.options.ackTimeout > Duration(0)) {
                setAckTimeout(h2o_socket_get_fd(socket), server.options.ackTimeout,
                              std::chrono::seconds(1));
            }
            h2o_accept(&server.acceptContext, socket);
        }
    });
    return {};
}

uint16_t Server::port() const
{
    return m_impl->port;
}

void Server::setRequestTimeout(Duration timeout)
{
    m_impl->config.http1.req_timeout = toMilliseconds(timeout);
    m_impl->context.http1.req_timeout.timeout = toMilliseconds(timeout);
}

void Server::stopAccepting()
{
    if (m_impl->listener == nullptr) {
        return;
    }
    h2o_socket_read_stop(m_impl->listener);
    h2o_socket_close(m_impl->listener);
    m_impl->listener = nullptr;
    h2o_context_request_shutdown(&m_impl->context);
}

void Server::closeIdle()
{
    // h2o closes connections that receive no request within this time; 1 ms closes idle ones now.
    m_impl->context.http1.req_timeout.timeout = 1;
}

size_t Server::openExchanges() const
{
    return m_impl->openExchanges;
}

} // namespace teaseldrift::http
