#pragma once

#include <functional>
#include <memory>
#include <system_error>
#include <vector>

#include "teaseldrift/base/time.hpp"
#include "teaseldrift/http/message.hpp"
#include "teaseldrift/store/vm_list.hpp"

namespace teaseldrift::http {
class EventLoop;
}

namespace teaseldrift::store {

/// @brief Reads the platform's list of VMs, a JSON array at `GET /vms`.
///
/// Sends the ETag of the last response, so that an unchanged list is not transferred again.
class HttpVmList
{
public:
    HttpVmList(http::EventLoop &loop, http::Endpoint endpoint, Duration timeout = 1s);
    ~HttpVmList();
    HttpVmList(const HttpVmList &) = delete;
    HttpVmList &operator=(const HttpVmList &) = delete;

    /// @brief Reads the list. A call cancels the previous read, whose callback is not called.
    void read(std::function<void(std::error_code, const std::vector<VmRecord> &)> done);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

static_assert(VmList<HttpVmList>);

} // namespace teaseldrift::store
