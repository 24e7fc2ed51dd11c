package org.masticpaddle.fleet;

import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against orders on failure domains that are forgotten, or come back after they were withdrawn. */
class EvacuatedDomainsTest {
    private final EvacuatedDomains domains = new EvacuatedDomains();

    @Test
    void shouldKeepAnOrderUntilItIsWithdrawn() {
        assertThat(domains.order("a", 3)).isEqualTo(EvacuationChange.ORDERED);
        assertThat(domains.order("b", 4)).isEqualTo(EvacuationChange.ORDERED);
        assertThat(domains.names()).containsExactly("a", "b").inOrder();
        assertThat(domains.withdraw("a", 5)).isEqualTo(EvacuationChange.WITHDRAWN);
        assertThat(domains.contains("a")).isFalse();
        assertThat(domains.contains("b")).isTrue();
        assertThat(domains.order("a", 6)).isEqualTo(EvacuationChange.ORDERED);
    }

    @Test
    void shouldIgnoreWhatIsStaleOrRepeated() {
        assertThat(domains.withdraw("a", 2)).isEqualTo(EvacuationChange.UNCHANGED);
        assertThat(domains.order("a", 1)).isEqualTo(EvacuationChange.STALE);
        assertThat(domains.order("a", 3)).isEqualTo(EvacuationChange.ORDERED);
        assertThat(domains.order("a", 3)).isEqualTo(EvacuationChange.UNCHANGED);
        assertThat(domains.order("a", 7)).isEqualTo(EvacuationChange.UNCHANGED);
        assertThat(domains.withdraw("a", 5)).isEqualTo(EvacuationChange.STALE);
        assertThat(domains.contains("a")).isTrue();
    }

    /** Applies the same records in random orders and with repetitions. */
    @Property(tries = 300, seed = "41")
    void shouldDependOnTheNewestRecordOfEachDomainOnly(
            @ForAll @IntRange(min = 1, max = 60) int recordCount, @ForAll long seed) {
        final Random random = new Random(seed);
        final List<Boolean> orders = IntStream.range(0, recordCount)
                .mapToObj(offset -> random.nextBoolean())
                .toList();
        final List<String> names = IntStream.range(0, recordCount)
                .mapToObj(offset -> "d" + random.nextInt(5))
                .toList();
        final TreeMap<String, Boolean> newest = new TreeMap<>();
        IntStream.range(0, recordCount).forEach(offset -> newest.put(names.get(offset), orders.get(offset)));
        final List<Integer> offsets = IntStream.range(0, 2 * recordCount)
                .map(index -> index % recordCount)
                .boxed()
                .collect(Collectors.toList());
        Collections.shuffle(offsets, random);
        final EvacuatedDomains shuffled = new EvacuatedDomains();
        for (final int offset : offsets) {
            if (orders.get(offset)) {
                shuffled.order(names.get(offset), offset);
            } else {
                shuffled.withdraw(names.get(offset), offset);
            }
        }
        newest.values().removeIf(inForce -> !inForce);
        assertThat(shuffled.names()).isEqualTo(new TreeSet<>(newest.keySet()));
    }

    @Test
    void shouldDropWithdrawnOrdersFirstWhenThereAreTooMany() {
        domains.order("kept", 0);
        for (int index = 1; index < 3 * EvacuatedDomains.MAX_DOMAINS; index++) {
            domains.order("d" + index, 2 * index);
            domains.withdraw("d" + index, 2 * index + 1);
        }
        assertThat(domains.names()).containsExactly("kept");
        long offset = 10L * EvacuatedDomains.MAX_DOMAINS;
        for (int index = 1; index < EvacuatedDomains.MAX_DOMAINS; index++) {
            assertThat(domains.order("e" + index, offset++)).isEqualTo(EvacuationChange.ORDERED);
        }
        assertThat(domains.order("last", offset++)).isEqualTo(EvacuationChange.TOO_MANY);
        assertThat(domains.contains("kept")).isTrue();
        assertThat(domains.withdraw("kept", offset++)).isEqualTo(EvacuationChange.WITHDRAWN);
        assertThat(domains.order("last", offset)).isEqualTo(EvacuationChange.ORDERED);
        assertThat(domains.names()).hasSize(EvacuatedDomains.MAX_DOMAINS);
    }
}
