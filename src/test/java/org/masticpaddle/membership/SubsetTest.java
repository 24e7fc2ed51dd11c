package org.masticpaddle.membership;

import java.net.URI;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.masticpaddle.platform.Instance;

import static com.google.common.truth.Truth.assertThat;

/** Guards against subsets that overload some workers, depend on one failure domain or change without need. */
class SubsetTest {
    private static final int REGIONS = 7;
    private static final int DOMAINS = 23;
    private static final int ENTRIES = 1800;
    private static final int WORKERS = 10_000;
    private static final int SIZE = 64;

    @Test
    void shouldBoundTheSubsetsThatAWorkerIsInAtFullSize() {
        final List<Instance> workers = workers(WORKERS);
        final Map<String, Integer> counts = new HashMap<>();
        for (int entry = 0; entry < ENTRIES; entry++) {
            final String region = region(entry % DOMAINS);
            final List<Instance> chosen = new SubsetSelector("entry-" + entry, region, SIZE).select(workers);
            assertThat(chosen).hasSize(SIZE);
            chosen.forEach(worker -> counts.merge(worker.id(), 1, Integer::sum));
            final Map<String, Long> domains =
                    chosen.stream().collect(Collectors.groupingBy(Instance::failureDomain, Collectors.counting()));
            assertThat(Collections.max(domains.values()) - Collections.min(domains.values()))
                    .isAtMost(1);
            assertThat(chosen.stream().allMatch(worker -> worker.region().equals(region)))
                    .isTrue();
        }
        final int mean = ENTRIES * SIZE / WORKERS;
        assertThat(Collections.max(counts.values())).isAtMost(3 * mean);
        assertThat(counts.size()).isAtLeast(WORKERS * 999 / 1000);
    }

    @Property(tries = 200, seed = "20261204")
    void shouldChangeFewMembersWhenOneInstanceComesOrGoes(
            @ForAll @IntRange(min = 2, max = 300) int count,
            @ForAll @IntRange(min = 1, max = 64) int size,
            @ForAll int seed) {
        final List<Instance> all = new ArrayList<>(workers(count));
        Collections.shuffle(all, new Random(seed));
        final SubsetSelector subset = new SubsetSelector("entry-" + seed, region(0), size);
        final List<Instance> before = subset.select(all);
        assertThat(before).hasSize(Math.min(size, count));
        assertThat(new HashSet<>(before)).hasSize(before.size());
        final Instance removed = all.remove(0);
        final Set<Instance> after = new HashSet<>(subset.select(all));
        final Set<Instance> kept = new HashSet<>(before);
        kept.retainAll(after);
        assertThat(before.size() - kept.size()).isAtMost(2);
        assertThat(after).doesNotContain(removed);
    }

    @Test
    void shouldTakeOtherRegionsOnlyWhenTheOwnIsTooSmall() {
        final List<Instance> chosen = new SubsetSelector("e", region(0), SIZE).select(workers(100));
        final long own = workers(100).stream()
                .filter(worker -> worker.region().equals(region(0)))
                .count();
        assertThat(chosen.stream()
                        .filter(worker -> worker.region().equals(region(0)))
                        .count())
                .isEqualTo(own);
        assertThat(chosen).hasSize(SIZE);
    }

    private static List<Instance> workers(int count) {
        final List<Instance> workers = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            final int domain = index % DOMAINS;
            workers.add(new Instance(
                    "worker-" + index,
                    "llm",
                    region(domain),
                    "domain-" + domain,
                    URI.create("http://127.0.0.1:" + (1 + index)),
                    Instance.State.LIVE));
        }
        return workers;
    }

    private static String region(int domain) {
        return "region-" + domain % REGIONS;
    }
}
