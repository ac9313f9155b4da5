#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "processes/process.hpp"
#include "processes/test_client.hpp"
#include "teaseldrift/schema/configuration.pb.h"

namespace teaseldrift::testing {

/// @brief Limits of a VM's process.
struct VmLimits
{
    size_t memoryMb = 0;
    size_t descriptors = 0;
};

/// @brief Composition of a fleet of processes on loopback.
struct FleetOptions
{
    size_t vms = 3;
    size_t engines = 2;
    size_t plainServices = 1;
    std::vector<std::string> engineArguments{"--token-ms", "2"};
    std::vector<std::string> vmArguments;
    std::optional<VmLimits> vmLimits;
    double rateTokensPerS = 1e7;
    double burstTokens = 1e7;
    uint32_t entryLifetimeMs = 200;
    uint32_t progressTimeoutMs = 1000;
};

/// @brief A store, a VM list, router VMs, engines and plain services as processes on loopback,
/// with one organisation `acreage`, its key, a model `estimator`, a non-idempotent route
/// `/returns` and an open idempotent route `/public`.
class FleetFixture
{
public:
    explicit FleetFixture(const FleetOptions &options = {});

    TestClient caller;

    /// @brief Address of a VM for callers.
    [[nodiscard]] http::Endpoint vm(size_t index) const;
    [[nodiscard]] http::Endpoint engine(size_t index) const;
    [[nodiscard]] http::Endpoint plainService(size_t index) const;
    [[nodiscard]] http::Endpoint store() const;

    Process &vmProcess(size_t index) { return m_vms.at(index).process; }
    Process &engineProcess(size_t index) { return m_engines.at(index).process; }
    Process &plainServiceProcess(size_t index) { return m_services.at(index).process; }
    Process &storeProcess() { return m_store.process; }

    /// @brief Starts a VM's process again on the same ports.
    void restartVm(size_t index);
    void restartEngine(size_t index);

    /// @brief Waits until a VM serves keyed requests.
    bool waitReady(size_t index, Duration timeout = 15s);

    /// @brief Key of the organisation.
    [[nodiscard]] const std::string &key() const { return m_key; }

    /// @brief A streamed completion.
    [[nodiscard]] http::Request completion(const std::string &prompt, uint32_t maxTokens) const;

    /// @brief A call to the non-idempotent route.
    [[nodiscard]] http::Request call(const std::string &callId) const;

    /// @brief Runs that the plain services recorded for a call id.
    size_t runCount(const std::string &callId);

    /// @brief Writes a document to the store, whatever its current revision.
    void put(const schema::Document &document);

    /// @brief Withdraws the organisation's key in the store.
    void withdrawKey();

    /// @brief Publishes the VM list, with the given targets in the state leaving.
    void publishVms(const std::vector<std::string> &leavingTargets = {});

    /// @brief Sets a stand-in's fault.
    void setFault(const http::Endpoint &endpoint, const std::string &mode);

private:
    struct FleetProcess
    {
        std::string id;
        Process process;
        uint16_t port = 0;
        uint16_t peerPort = 0;
        std::vector<std::string> arguments;
        std::string program;
    };

    FleetOptions m_options;
    std::vector<ReservedPort> m_ports;
    FleetProcess m_store;
    FleetProcess m_vmList;
    std::vector<FleetProcess> m_engines;
    std::vector<FleetProcess> m_services;
    std::vector<FleetProcess> m_vms;
    std::string m_key;
    schema::Organisation m_organisation;

    static FleetProcess launch(const std::string &id, const std::string &program,
                               std::vector<std::string> arguments, uint16_t port);
    uint16_t reservePort();
    void startPlatform();
    void startTargets();
    void startVms();
    void configure();
    void waitListening(const http::Endpoint &endpoint);
};

/// @brief Texts of a stream's events in order, without the end marker.
std::vector<std::string> splitEvents(const std::string &body);

/// @brief Whether a stream's answer is complete: positions without gap or repeat, end marker last.
bool isCompleteStream(const ReceivedResponse &response, uint32_t tokens);

} // namespace teaseldrift::testing
