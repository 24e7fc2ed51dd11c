package org.masticpaddle.document;

import java.util.HashMap;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a document that goes back, readers that disagree at one offset, and untrue verdicts of publishers,
 * under outages, restarts, retention, lost acknowledgements and duplicated appends. Runs 1,000 schedules;
 * {@code -Djqwik.tries.default=100000} raises the number.
 */
class ConfigurationExplorationTest {
    private static final String LOGGER = "org.masticpaddle.document";
    private static final Map<String, Integer> COUNTS = new HashMap<>();

    @BeforeContainer
    static void silenceLog() {
        Configurator.setLevel(LOGGER, Level.OFF);
    }

    @AfterContainer
    static void checkCoverage() {
        Configurator.setLevel(LOGGER, Level.INFO);
        System.out.println("configuration exploration: " + COUNTS);
        assertThat(COUNTS.keySet()).containsAtLeast("Accepted", "Rejected", "Unknown", "NotSent", "recovered");
    }

    @Property(seed = "20261204", shrinking = ShrinkingMode.OFF)
    void shouldNeverRevertOrDisagree(@ForAll long seed) {
        final ConfigurationSimulation world = new ConfigurationSimulation(seed);
        world.run(150);
        world.counts.forEach((name, count) -> COUNTS.merge(name, count, Integer::sum));
    }
}
