#include <sstream>
#include <thread>

#include <catch2/catch.hpp>

#include "standins/store_gateway.hpp"
#include "teaseldrift/ctl/command_line.hpp"
#include "teaseldrift/ctl/configuration_store.hpp"

namespace teaseldrift::ctl {

namespace {

constexpr Duration outage = 100ms;

/// Runs the stand-in store on its own thread.
class StoreThread
{
public:
    StoreThread()
        : m_server(m_loop, {}, [this](const std::shared_ptr<http::Exchange> &exchange) {
              m_gateway.handle(exchange);
          })
    {
        REQUIRE_FALSE(m_server.listen());
        m_thread = std::thread([this] { m_loop.run(); });
    }

    ~StoreThread()
    {
        m_loop.stop();
        m_thread.join();
    }

    [[nodiscard]] http::Endpoint endpoint() const
    {
        return {.address = "127.0.0.1", .port = m_server.port()};
    }

    /// Drops the responses to calls that take effect, for the duration of the outage.
    void loseAnswers()
    {
        m_loop.post([this] {
            m_gateway.setFault("lose_answers");
            m_loop.startTimer(outage, [this] { m_gateway.setFault("none"); });
        });
    }

private:
    http::EventLoop m_loop;
    standins::StoreGateway m_gateway{m_loop};
    http::Server m_server;
    std::thread m_thread;
};

struct CommandResult
{
    ExitCode code = ExitCode::Failure;
    std::string out;
    std::string err;
};

CommandResult run(const StoreThread &store, std::vector<std::string> arguments)
{
    arguments.insert(arguments.end(), {"--store", http::toString(store.endpoint())});
    std::ostringstream out;
    std::ostringstream err;
    const ExitCode code = runCommandLine(arguments, out, err);
    return {.code = code, .out = out.str(), .err = err.str()};
}

std::vector<DocumentChange> planOrganisation(const ConfigurationReadResult &read, double rate,
                                             const std::string &changeId)
{
    schema::Configuration desired = toConfiguration(read.documents);
    desired.clear_organisations();
    schema::Organisation &organisation = *desired.add_organisations();
    organisation.set_name("a");
    organisation.set_rate_tokens_per_s(rate);
    return planChanges(read.documents, desired, changeId);
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("organisations and keys are created, listed and withdrawn")
{
    const StoreThread store;
    CHECK(run(store,
              {"organisation", "create", "a", "--rate-tokens-per-s", "10", "--burst-tokens", "20"})
                  .code
          == ExitCode::Ok);
    CHECK(run(store, {"organisation", "create", "a"}).code == ExitCode::Usage);
    CHECK(run(store, {"organisation", "set", "b", "--weight", "2"}).code == ExitCode::Usage);
    const CommandResult made = run(store, {"key", "create", "a"});
    REQUIRE(made.code == ExitCode::Ok);
    CHECK(made.out.starts_with("td-"));
    const std::string id = made.out.substr(3, made.out.find('-', 3) - 3);
    CHECK(contains(run(store, {"key", "list"}).out, id));
    CHECK_FALSE(contains(run(store, {"get"}).out, id));
    CHECK(run(store, {"key", "withdraw", "a", id}).code == ExitCode::Ok);
    CHECK_FALSE(contains(run(store, {"key", "list"}).out, id));
}

TEST_CASE("an exception requires a reason, which explain shows")
{
    const StoreThread store;
    run(store,
        {"organisation", "create", "a", "--rate-tokens-per-s", "10", "--burst-tokens", "20"});
    const std::vector<std::string> arguments = {"exception", "create",      "--organisation", "a",
                                                "--setting", "queue_limit", "--value",        "9"};
    CHECK(run(store, arguments).code == ExitCode::Usage);
    std::vector<std::string> withReason = arguments;
    withReason.insert(withReason.end(), {"--reason", "harvest"});
    CHECK(run(store, withReason).code == ExitCode::Ok);
    CHECK(contains(run(store, {"explain", "queue_limit", "--organisation", "a"}).out, "harvest"));
}

TEST_CASE("a dry run writes nothing")
{
    const StoreThread store;
    const CommandResult result = run(store, {"organisation", "create", "a", "--rate-tokens-per-s",
                                             "10", "--burst-tokens", "20", "--dry-run"});
    CHECK(result.code == ExitCode::Ok);
    CHECK_FALSE(result.out.empty());
    CHECK(run(store, {"organisation", "set", "a", "--weight", "2"}).code == ExitCode::Usage);
}

TEST_CASE("invalid command lines and unreadable documents exit with the usage code")
{
    const StoreThread store;
    CHECK(run(store, {"organisation"}).code == ExitCode::Usage);
    CHECK(run(store, {"organisation", "list", "--output", "xml"}).code == ExitCode::Usage);
    CHECK(run(store, {"apply", "-f", "/nonexistent"}).code == ExitCode::Usage);
}

TEST_CASE("a write that conflicts with a concurrent change writes nothing and returns its diff")
{
    const StoreThread store;
    ConfigurationStore first(store.endpoint(), "/teaseldrift/");
    ConfigurationStore second(store.endpoint(), "/teaseldrift/");
    const ConfigurationReadResult read = first.read();
    REQUIRE_FALSE(read.error);
    CHECK(first.write(planOrganisation(read, 1, "first"), "first").outcome
          == WriteOutcome::Written);
    const ConfigurationWriteResult lost
            = second.write(planOrganisation(read, 2, "second"), "second");
    CHECK(lost.outcome == WriteOutcome::Conflict);
    CHECK(contains(lost.conflictDiff, "organisation"));
    const schema::Configuration now = toConfiguration(second.read().documents);
    REQUIRE(now.organisations_size() == 1);
    CHECK(now.organisations(0).rate_tokens_per_s() == 1);
}

TEST_CASE("a write whose response was lost is resolved by reading back the change id")
{
    StoreThread store;
    ConfigurationStore client(store.endpoint(), "/teaseldrift/");
    const ConfigurationReadResult read = client.read();
    store.loseAnswers();
    const ConfigurationWriteResult report
            = client.write(planOrganisation(read, 3, "change"), "change");
    CHECK(report.outcome == WriteOutcome::Written);
    CHECK(report.revision > read.revision);
}

} // namespace teaseldrift::ctl
