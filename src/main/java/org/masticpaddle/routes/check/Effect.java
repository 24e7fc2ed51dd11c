package org.masticpaddle.routes.check;

import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** On what a change of a configuration has an effect while gateways are in use. */
public enum Effect {
    /** Requests that gateways have accepted and not answered. */
    REQUESTS_IN_FLIGHT("requests in flight"),
    /** Later requests of sessions that have begun. */
    SESSIONS("sessions"),
    /** What remains when the old configuration is sent again. */
    IRREVERSIBLE("cannot be undone");

    private final String label;

    Effect(String label) {
        this.label = label;
    }

    /**
     * Returns the name for display.
     *
     * @return lower-case words
     */
    public String label() {
        return label;
    }

    /**
     * Collects the effects of changes.
     *
     * @param changes changes of a configuration
     * @return different texts of each effect, in the order of the changes; effects without a text are left out
     */
    public static Map<Effect, Set<String>> of(Collection<RoutingChange> changes) {
        final Map<Effect, Set<String>> texts = new EnumMap<>(Effect.class);
        changes.stream()
                .map(RoutingChange::aspect)
                .distinct()
                .forEach(aspect -> aspect.effects()
                        .forEach((effect, text) -> texts.computeIfAbsent(effect, ignored -> new LinkedHashSet<>())
                                .add(text)));
        return texts;
    }
}
