#include "teaseldrift/configuration/validation.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>

#include <arpa/inet.h>

#include "teaseldrift/configuration/documents.hpp"
#include "teaseldrift/configuration/settings_lookup.hpp"

namespace teaseldrift {

namespace {

constexpr size_t maxDocumentBytes = 1000000;
constexpr size_t maxNameLength = 128;
constexpr size_t hashBytes = 32;
constexpr size_t minSaltBytes = 8;
constexpr uint32_t maxPort = 65535;

using Names = std::set<std::string, std::less<>>;

/// Path of a list element, or of a field within it.
std::string pathOf(std::string_view list, int index, std::string_view field = {})
{
    std::string path = std::string(list) + "[" + std::to_string(index) + "]";
    if (!field.empty()) {
        path += ".";
        path += field;
    }
    return path;
}

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
           || (character >= '0' && character <= '9') || character == '-' || character == '_'
           || character == '.';
}

/// Limits names to characters that are safe in store keys and in metric labels.
bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength
           && std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isBlank(std::string_view text)
{
    return text.find_first_not_of(" \t\r\n") == std::string_view::npos;
}

bool isPositive(double value)
{
    return std::isfinite(value) && value > 0.0;
}

/// Collects the errors of one configuration.
class Validator
{
public:
    explicit Validator(const schema::Configuration &configuration) : m_configuration(configuration)
    { }

    std::vector<ValidationError> run()
    {
        checkModels();
        checkTargets();
        checkRoutes();
        checkOrganisations();
        checkDefaults();
        checkExceptions();
        checkSizes();
        return std::move(m_errors);
    }

private:
    const schema::Configuration &m_configuration;
    std::vector<ValidationError> m_errors;
    Names m_models;
    Names m_services;
    Names m_routes;
    Names m_organisations;

    void addError(std::string path, std::string message)
    {
        m_errors.push_back({.path = std::move(path), .message = std::move(message)});
    }

    void require(bool holds, const std::string &path, std::string_view message)
    {
        if (!holds) {
            addError(path, std::string(message));
        }
    }

    void checkName(const std::string &name, Names &names, const std::string &path)
    {
        require(isName(name), path, "must consist of 1 to 128 letters, digits, '-', '_' and '.'");
        require(names.insert(name).second, path, "'" + name + "' is a duplicate");
    }

    void checkModels()
    {
        const schema::FleetDocument &fleet = m_configuration.fleet();
        for (int i = 0; i < fleet.models_size(); ++i) {
            const schema::Model &model = fleet.models(i);
            const std::string path = pathOf("fleet.models", i);
            require(!isBlank(model.name()), path + ".name", "must not be empty");
            require(m_models.insert(model.name()).second, path + ".name",
                    "'" + model.name() + "' is a duplicate");
            require(!isBlank(model.weights_version()), path + ".weights_version",
                    "must not be empty");
            require(model.block_tokens() > 0, path + ".block_tokens", "must be positive");
            Names adapters;
            for (int j = 0; j < model.adapters_size(); ++j) {
                const std::string adapter = pathOf(path + ".adapters", j);
                require(!isBlank(model.adapters(j)), adapter, "must not be empty");
                require(adapters.insert(model.adapters(j)).second, adapter, "is a duplicate");
            }
        }
    }

    void checkTargets()
    {
        Names ids;
        Names endpoints;
        for (int i = 0; i < m_configuration.targets_size(); ++i) {
            const schema::Target &target = m_configuration.targets(i);
            checkName(target.id(), ids, pathOf("targets", i, "id"));
            in_addr address{};
            require(inet_pton(AF_INET, target.address().c_str(), &address) == 1,
                    pathOf("targets", i, "address"), "must be an IPv4 address");
            require(target.port() > 0 && target.port() <= maxPort, pathOf("targets", i, "port"),
                    "must be 1 to 65535");
            require(target.events_port() <= maxPort, pathOf("targets", i, "events_port"),
                    "must be 0 to 65535");
            const std::string endpoint = target.address() + ":" + std::to_string(target.port());
            require(endpoints.insert(endpoint).second, pathOf("targets", i, "address"),
                    "'" + endpoint + "' is a duplicate");
            require(!isBlank(target.availability_zone()), pathOf("targets", i, "availability_zone"),
                    "must not be empty");
            checkRole(target, i);
        }
    }

    void checkRole(const schema::Target &target, int index)
    {
        require(schema::TargetKind_IsValid(target.kind()), pathOf("targets", index, "kind"),
                "is not a known kind");
        if (target.kind() == schema::PLAIN_SERVICE) {
            require(isName(target.service()), pathOf("targets", index, "service"),
                    "must be a valid name for a plain service");
            m_services.insert(target.service());
        }
        if (target.kind() == schema::ENGINE) {
            require(target.slots() > 0, pathOf("targets", index, "slots"), "must be positive");
        }
        for (const std::string &model : target.models()) {
            require(m_models.contains(model), pathOf("targets", index, "models"),
                    "model '" + model + "' is not defined in the fleet document");
        }
    }

    void checkRoutes()
    {
        const schema::FleetDocument &fleet = m_configuration.fleet();
        for (int i = 0; i < fleet.routes_size(); ++i) {
            const schema::Route &route = fleet.routes(i);
            const std::string path = pathOf("fleet.routes", i, "path_prefix");
            require(route.path_prefix().starts_with('/'), path, "must start with '/'");
            require(m_routes.insert(route.path_prefix()).second, path,
                    "'" + route.path_prefix() + "' is a duplicate");
            require(schema::RouteClass_IsValid(route.route_class()),
                    pathOf("fleet.routes", i, "route_class"), "is not a known class");
            const std::string service = pathOf("fleet.routes", i, "service");
            if (!route.service().empty()) {
                require(m_services.contains(route.service()), service,
                        "no target provides the service '" + route.service() + "'");
            } else {
                require(route.route_class() == schema::GENERATION, service,
                        "may be empty only for a generation route");
            }
        }
    }

    void checkOrganisations()
    {
        Names keyIds;
        for (int i = 0; i < m_configuration.organisations_size(); ++i) {
            const schema::Organisation &organisation = m_configuration.organisations(i);
            checkName(organisation.name(), m_organisations, pathOf("organisations", i, "name"));
            require(isPositive(organisation.rate_tokens_per_s()),
                    pathOf("organisations", i, "rate_tokens_per_s"), "must be positive");
            require(isPositive(organisation.burst_tokens()),
                    pathOf("organisations", i, "burst_tokens"), "must be positive");
            require(std::isfinite(organisation.weight()) && organisation.weight() >= 0.0,
                    pathOf("organisations", i, "weight"), "must not be negative");
            for (int j = 0; j < organisation.keys_size(); ++j) {
                const schema::KeyRecord &key = organisation.keys(j);
                const std::string path = pathOf(pathOf("organisations", i, "keys"), j);
                checkName(key.id(), keyIds, path + ".id");
                require(key.salt().size() >= minSaltBytes, path + ".salt",
                        "must be at least 8 bytes");
                require(key.hash().size() == hashBytes, path + ".hash", "must be 32 bytes");
            }
        }
    }

    void checkDefaults()
    {
        const schema::Defaults &defaults = m_configuration.fleet().defaults();
        std::vector<const google::protobuf::FieldDescriptor *> fields;
        schema::Defaults::GetReflection()->ListFields(defaults, &fields);
        for (const google::protobuf::FieldDescriptor *field : fields) {
            schema::Defaults scratch;
            const std::string value = valueOf(defaults, field->name());
            require(setValue(scratch, field->name(), value), "fleet.defaults." + field->name(),
                    "'" + value + "' is out of range");
        }
    }

    void checkExceptions()
    {
        const schema::FleetDocument &fleet = m_configuration.fleet();
        Names scopes;
        for (int i = 0; i < fleet.exceptions_size(); ++i) {
            const schema::SettingException &exception = fleet.exceptions(i);
            const std::string path = pathOf("fleet.exceptions", i);
            require(!isBlank(exception.reason()), path + ".reason",
                    "an exception must have a reason");
            if (!isKnownSetting(exception.setting())) {
                addError(path + ".setting", "unknown setting '" + exception.setting() + "'");
            } else {
                schema::Defaults scratch;
                require(setValue(scratch, exception.setting(), exception.value()), path + ".value",
                        "'" + exception.value() + "' is malformed or out of range for "
                                + exception.setting());
            }
            require(!exception.organisation().empty() || !exception.route().empty(), path,
                    "sets neither an organisation nor a route; change the default instead");
            require(exception.organisation().empty()
                            || m_organisations.contains(exception.organisation()),
                    path + ".organisation",
                    "unknown organisation '" + exception.organisation() + "'");
            require(exception.route().empty() || m_routes.contains(exception.route()),
                    path + ".route", "unknown route '" + exception.route() + "'");
            require(exception.until_unix_ms() >= 0, path + ".until_unix_ms",
                    "must not be negative");
            require(scopes.insert(exception.organisation() + "\n" + exception.route() + "\n"
                                  + exception.setting())
                            .second,
                    path, "duplicates an exception with the same scope and setting");
        }
    }

    void checkSizes()
    {
        for (const NamedDocument &named : toDocuments(m_configuration)) {
            require(named.document.ByteSizeLong() <= maxDocumentBytes, named.name,
                    "document exceeds the store's limit of 1000000 bytes");
        }
    }
};

} // namespace

std::vector<ValidationError> validate(const schema::Configuration &configuration)
{
    return Validator(configuration).run();
}

} // namespace teaseldrift
