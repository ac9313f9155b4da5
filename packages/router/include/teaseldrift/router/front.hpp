#pragma once

#include <memory>

#include "teaseldrift/schema/configuration.pb.h"
#include "teaseldrift/schema/settings.pb.h"

namespace teaseldrift::http {
class EventLoop;
class Exchange;
} // namespace teaseldrift::http

namespace teaseldrift::router {

/// @brief Answers callers: picks a target for each request and passes its answer on.
class Front
{
public:
    Front(http::EventLoop &loop, const schema::RouterSettings &settings);
    ~Front();
    Front(const Front &) = delete;
    Front &operator=(const Front &) = delete;

    /// @brief Uses this configuration from now on.
    void configure(schema::Configuration configuration);

    /// @brief Takes over one request.
    void handle(std::shared_ptr<http::Exchange> exchange);

private:
    struct Native;
    std::unique_ptr<Native> m_native;
};

} // namespace teaseldrift::router
