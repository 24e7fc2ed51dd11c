package org.masticpaddle.routes.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

import org.masticpaddle.document.PartDifference;
import org.masticpaddle.routes.RequestLimits;
import org.masticpaddle.routes.Route;
import org.masticpaddle.routes.ServicePolicy;

/**
 * Compares two configurations: routes by host and prefix, services and organisations by name, keys by digest. Of entries that
 * are written twice, the one that gateways use is compared. The work grows linearly with the number of entries. Used by one
 * thread.
 */
public final class DraftDifference {
    private static final List<Property<Route>> ROUTE_PROPERTIES = List.of(
            new Property<>(Aspect.LABEL, Field.ROUTE_NAME, Route::name),
            new Property<>(Aspect.KIND, Field.KIND, Route::kind),
            new Property<>(Aspect.KIND, Field.RESUMABLE, Route::resumable),
            new Property<>(Aspect.TIME_LIMIT, Field.TIME_LIMIT, Route::timeoutMillis),
            new Property<>(Aspect.OBJECTIVE, Field.OBJECTIVE, Route::objectiveMillis),
            new Property<>(Aspect.OBJECTIVE, Field.GAP_OBJECTIVE, Route::maxEventGapMillis),
            new Property<>(Aspect.RANK, Field.RANK, Route::rank),
            new Property<>(Aspect.ACCESS, Field.PUBLIC_ACCESS, Route::publicAccess),
            new Property<>(Aspect.ATTEMPTS, Field.ATTEMPTS, Route::maxAttempts),
            new Property<>(Aspect.TARGETS, Field.TARGETS, DraftDifference::targets),
            new Property<>(Aspect.ROUTE_MODELS, Field.ROUTE_MODELS, route -> String.join(", ", route.modelsBySize())));
    private static final List<Property<ServicePolicy>> SERVICE_PROPERTIES = List.of(
            new Property<>(Aspect.CONNECTIONS, Field.CONNECTIONS, ServicePolicy::maxConnections),
            new Property<>(Aspect.CAPACITY, Field.TOKEN_CAPACITY, ServicePolicy::tokenCapacity),
            new Property<>(Aspect.CAPACITY, Field.TOKENS_PER_EVENT, ServicePolicy::tokensPerEvent),
            new Property<>(Aspect.SERVICE_MODELS, Field.SERVICE_MODELS, DraftDifference::models),
            new Property<>(Aspect.COLD_LIMIT, Field.COLD_TIME, ServicePolicy::coldSeconds),
            new Property<>(Aspect.COLD_LIMIT, Field.COLD_RATE, ServicePolicy::coldRequestsPerSecond));
    private static final List<Property<Organisation>> ORGANISATION_PROPERTIES = List.of(new Property<>(
            Aspect.RANK,
            Field.ORGANISATION_RANK,
            organisation -> rank(organisation.owner().rank())));
    private static final List<Property<RequestLimits>> LIMIT_PROPERTIES = List.of(
            new Property<>(Aspect.SIZE_LIMITS, Field.HEADER_LIMIT, RequestLimits::maxHeaderBytes),
            new Property<>(Aspect.SIZE_LIMITS, Field.BODY_LIMIT, RequestLimits::maxBodyBytes));

    private final ConfigurationDraft before;
    private final ConfigurationDraft after;
    private final FieldNames names;
    private final List<RoutingChange> changes = new ArrayList<>();

    private DraftDifference(ConfigurationDraft before, ConfigurationDraft after) {
        this.before = Objects.requireNonNull(before, "before is null");
        this.after = Objects.requireNonNull(after, "after is null");
        this.names = after.names();
    }

    /**
     * Compares two configurations.
     *
     * @param before configuration in force
     * @param after configuration that replaces it
     * @return changes of the version, routes, services, organisations, keys and limits, in this order
     */
    public static List<RoutingChange> between(ConfigurationDraft before, ConfigurationDraft after) {
        final DraftDifference difference = new DraftDifference(before, after);
        difference.compareVersions();
        difference.compareEntries(
                Field.ROUTES,
                first(before.routes(), Address::of),
                first(after.routes(), Address::of),
                ROUTE_PROPERTIES,
                Aspect.ROUTE_ADDED,
                Aspect.ROUTE_REMOVED);
        difference.compareEntries(
                Field.SERVICES,
                last(before.services(), ServicePolicy::name),
                last(after.services(), ServicePolicy::name),
                SERVICE_PROPERTIES,
                Aspect.SERVICE_ADDED,
                Aspect.SERVICE_REMOVED);
        difference.compareEntries(
                Field.ORGANISATIONS,
                last(before.organisations(), Organisation::name),
                last(after.organisations(), Organisation::name),
                ORGANISATION_PROPERTIES,
                Aspect.ORGANISATION_ADDED,
                Aspect.ORGANISATION_REMOVED);
        difference.compareKeys();
        difference.compareLimits();
        return List.copyOf(difference.changes);
    }

    private void compareVersions() {
        if (before.version().isPresent()
                && after.version().isPresent()
                && before.version().getAsLong() != after.version().getAsLong()) {
            add(
                    Aspect.VERSION,
                    PartDifference.Change.Kind.CHANGED,
                    "configuration",
                    names.of(Field.VERSION),
                    Long.toString(before.version().getAsLong()),
                    Long.toString(after.version().getAsLong()));
        }
        if (before.keysRequired() != after.keysRequired()) {
            add(
                    Aspect.ACCESS,
                    PartDifference.Change.Kind.CHANGED,
                    "configuration",
                    names.of(Field.ORGANISATIONS),
                    keyRule(before),
                    keyRule(after));
        }
    }

    private static String keyRule(ConfigurationDraft draft) {
        return draft.keysRequired() ? "requests need a key" : "requests need no key";
    }

    private static <K, T> Map<K, T> first(List<Placed<T>> entries, Function<T, K> key) {
        final Map<K, T> result = new LinkedHashMap<>();
        entries.forEach(entry -> result.putIfAbsent(key.apply(entry.value()), entry.value()));
        return result;
    }

    private static <K, T> Map<K, T> last(List<Placed<T>> entries, Function<T, K> key) {
        final Map<K, T> result = new LinkedHashMap<>();
        entries.forEach(entry -> result.put(key.apply(entry.value()), entry.value()));
        return result;
    }

    private <K, T> void compareEntries(
            Field list,
            Map<K, T> oldEntries,
            Map<K, T> newEntries,
            List<Property<T>> properties,
            Aspect added,
            Aspect removed) {
        final Set<K> keys = new LinkedHashSet<>(newEntries.keySet());
        keys.addAll(oldEntries.keySet());
        for (final K key : keys) {
            final String section = names.of(list) + " " + key;
            final T oldEntry = oldEntries.get(key);
            final T newEntry = newEntries.get(key);
            if (oldEntry == null) {
                add(added, PartDifference.Change.Kind.ADDED, section, "", "", "");
            } else if (newEntry == null) {
                add(removed, PartDifference.Change.Kind.REMOVED, section, "", "", "");
            } else {
                compareProperties(section, oldEntry, newEntry, properties);
            }
        }
    }

    private <T> void compareProperties(String section, T oldEntry, T newEntry, List<Property<T>> properties) {
        for (final Property<T> property : properties) {
            final String oldValue = property.value(oldEntry);
            final String newValue = property.value(newEntry);
            if (!oldValue.equals(newValue)) {
                add(
                        property.aspect,
                        PartDifference.Change.Kind.CHANGED,
                        section,
                        names.of(property.field),
                        oldValue,
                        newValue);
            }
        }
    }

    private void compareKeys() {
        final Map<KeyDigest, String> oldOwners = owners(before);
        final Map<KeyDigest, String> newOwners = owners(after);
        final Set<KeyDigest> digests = new LinkedHashSet<>(newOwners.keySet());
        digests.addAll(oldOwners.keySet());
        for (final KeyDigest digest : digests) {
            final String oldOwner = oldOwners.get(digest);
            final String newOwner = newOwners.get(digest);
            final String label = digest.label();
            if (oldOwner == null) {
                addKey(Aspect.KEY_ADDED, PartDifference.Change.Kind.ADDED, newOwner, "", label);
            } else if (newOwner == null) {
                addKey(Aspect.KEY_REMOVED, PartDifference.Change.Kind.REMOVED, oldOwner, label, "");
            } else if (!oldOwner.equals(newOwner)) {
                addKey(
                        Aspect.KEY_MOVED,
                        PartDifference.Change.Kind.CHANGED,
                        newOwner,
                        label + " of " + oldOwner,
                        label + " of " + newOwner);
            }
        }
    }

    private void addKey(
            Aspect aspect, PartDifference.Change.Kind kind, String owner, String oldValue, String newValue) {
        add(aspect, kind, names.of(Field.ORGANISATIONS) + " " + owner, names.of(Field.KEYS), oldValue, newValue);
    }

    private static Map<KeyDigest, String> owners(ConfigurationDraft draft) {
        final Map<KeyDigest, String> owners = new LinkedHashMap<>();
        draft.organisations()
                .forEach(organisation -> organisation
                        .value()
                        .keys()
                        .forEach(key ->
                                owners.put(key.value(), organisation.value().name())));
        return owners;
    }

    private void compareLimits() {
        compareProperties(names.of(Field.LIMITS), before.limits(), after.limits(), LIMIT_PROPERTIES);
    }

    private void add(
            Aspect aspect,
            PartDifference.Change.Kind kind,
            String section,
            String key,
            String oldValue,
            String newValue) {
        changes.add(new RoutingChange(aspect, new PartDifference.Change(kind, section, key, oldValue, newValue)));
    }

    private static String targets(Route route) {
        final Map<String, Double> weights = new HashMap<>();
        route.targets().forEach(target -> weights.merge(target.service(), target.weight(), Double::sum));
        final double total =
                weights.values().stream().mapToDouble(Double::doubleValue).sum();
        final List<String> shares = new ArrayList<>();
        new TreeMap<>(weights)
                .forEach((service, weight) ->
                        shares.add(service + " " + (total > 0 ? Math.round(1e6 * weight / total) / 1e4 : 0) + "%"));
        return String.join(", ", shares);
    }

    private static String models(ServicePolicy service) {
        final List<String> models = new ArrayList<>();
        new TreeMap<>(service.modelCosts()).forEach((model, cost) -> models.add(model + " " + cost));
        return String.join(", ", models);
    }

    private static String rank(OptionalInt rank) {
        return rank.isPresent() ? Integer.toString(rank.getAsInt()) : "that of the route";
    }

    private record Property<T>(Aspect aspect, Field field, Function<T, Object> get) {
        String value(T entry) {
            return String.valueOf(get.apply(entry));
        }
    }
}
