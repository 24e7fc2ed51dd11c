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

/** Guards against subsets that overload some workers, depend on one failure domain or change more than necessary. */
class SubsetSelectorTest {
    private static final int REGION_COUNT = 7;
    private static final int DOMAIN_COUNT = 23;
    private static final int ENTRY_COUNT = 1800;
    private static final int WORKER_COUNT = 10_000;
    private static final int SUBSET_SIZE = 64;

    @Test
    void shouldSpreadSubsetsEvenlyOverWorkersAtFullSize() {
        final List<Instance> workers = workers(WORKER_COUNT);
        final Map<String, Integer> counts = new HashMap<>();
        for (int entry = 0; entry < ENTRY_COUNT; entry++) {
            final String region = region(entry % DOMAIN_COUNT);
            final List<Instance> selected = new SubsetSelector("entry-" + entry, region, SUBSET_SIZE).select(workers);
            assertThat(selected).hasSize(SUBSET_SIZE);
            selected.forEach(worker -> counts.merge(worker.id(), 1, Integer::sum));
            final Map<String, Long> domains =
                    selected.stream().collect(Collectors.groupingBy(Instance::failureDomain, Collectors.counting()));
            assertThat(Collections.max(domains.values()) - Collections.min(domains.values()))
                    .isAtMost(1);
            assertThat(selected.stream().allMatch(worker -> worker.region().equals(region)))
                    .isTrue();
        }
        final int mean = ENTRY_COUNT * SUBSET_SIZE / WORKER_COUNT;
        assertThat(Collections.max(counts.values())).isAtMost(3 * mean);
        assertThat(counts.size()).isAtLeast(WORKER_COUNT * 999 / 1000);
    }

    @Property(tries = 200, seed = "20261204")
    void shouldChangeAtMostTwoMembersWhenOneInstanceIsAddedOrRemoved(
            @ForAll @IntRange(min = 2, max = 300) int count,
            @ForAll @IntRange(min = 1, max = 64) int size,
            @ForAll int seed) {
        final List<Instance> all = new ArrayList<>(workers(count));
        Collections.shuffle(all, new Random(seed));
        final SubsetSelector selector = new SubsetSelector("entry-" + seed, region(0), size);
        final List<Instance> before = selector.select(all);
        assertThat(before).hasSize(Math.min(size, count));
        assertThat(new HashSet<>(before)).hasSize(before.size());
        final Instance removed = all.remove(0);
        final Set<Instance> after = new HashSet<>(selector.select(all));
        final Set<Instance> kept = new HashSet<>(before);
        kept.retainAll(after);
        assertThat(before.size() - kept.size()).isAtMost(2);
        assertThat(after).doesNotContain(removed);
    }

    @Test
    void shouldSelectOtherRegionsOnlyWhenTheOwnRegionIsTooSmall() {
        final List<Instance> selected = new SubsetSelector("e", region(0), SUBSET_SIZE).select(workers(100));
        final long ownRegion = workers(100).stream()
                .filter(worker -> worker.region().equals(region(0)))
                .count();
        assertThat(selected.stream()
                        .filter(worker -> worker.region().equals(region(0)))
                        .count())
                .isEqualTo(ownRegion);
        assertThat(selected).hasSize(SUBSET_SIZE);
    }

    private static List<Instance> workers(int count) {
        final List<Instance> workers = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            final int domain = index % DOMAIN_COUNT;
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
        return "region-" + domain % REGION_COUNT;
    }
}
