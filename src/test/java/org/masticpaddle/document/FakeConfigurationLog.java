package org.masticpaddle.document;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.platform.EventLog;
import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;
import org.masticpaddle.platform.PlatformException;

import static com.google.common.truth.Truth.assertThat;

/**
 * In-memory log with random faults. Keeps the expected state after each record, and the expected verdict of each edit
 * from a model that does not use {@link ConfigurationState}, so that faults of that class are found as well. Not
 * thread-safe.
 */
final class FakeConfigurationLog implements EventLog {
    final List<LogRecord> records = new ArrayList<>();
    final List<ConfigurationState> expectedStates = new ArrayList<>(List.of(ConfigurationState.empty()));
    final Map<String, EditOutcome.Verdict> expectedVerdicts = new HashMap<>();
    private final Map<String, Deque<String>> acceptedTexts = new HashMap<>();
    final Deque<byte[]> delayed = new ArrayDeque<>();
    long nowMillis = 1;
    long earliest;
    boolean unavailable;
    boolean faulty = true;
    private final UniformRandomProvider random;

    FakeConfigurationLog(UniformRandomProvider random) {
        this.random = random;
    }

    void store(byte[] data) {
        records.add(new LogRecord(records.size(), nowMillis, data));
        final ConfigurationState last = expectedStates.get(expectedStates.size() - 1);
        final ConfigurationState next =
                last.apply(records.get(records.size() - 1)).next();
        expectedStates.add(next);
        if (ConfigurationRecord.decode(data).orElseThrow() instanceof Edit edit
                && !expectedVerdicts.containsKey(edit.editId())) {
            expectedVerdicts.put(edit.editId(), expectedVerdict(edit));
        }
        acceptedTexts.forEach((team, texts) -> {
            assertThat(next.partRevision(team)).isEqualTo(texts.size());
            assertThat(next.part(team).map(PublishedPart::text)).isEqualTo(Optional.of(texts.getLast()));
        });
    }

    private EditOutcome.Verdict expectedVerdict(Edit edit) {
        final Deque<String> texts = acceptedTexts.getOrDefault(edit.team(), new ArrayDeque<>());
        if (edit.baseRevision() != texts.size()) {
            return EditOutcome.Verdict.STALE_BASE;
        }
        final String textOfA = "a".equals(edit.team()) ? edit.text() : lastText("a");
        final String textOfB = "b".equals(edit.team()) ? edit.text() : lastText("b");
        if (textOfB.contains("allow = m/*") && !textOfA.contains("[a model m]")) {
            return EditOutcome.Verdict.CHECK_FAILED;
        }
        texts.add(edit.text());
        acceptedTexts.put(edit.team(), texts);
        return EditOutcome.Verdict.ACCEPTED;
    }

    private String lastText(String team) {
        final Deque<String> texts = acceptedTexts.get(team);
        return texts == null ? "" : texts.getLast();
    }

    void expireRecords(long retentionMillis) {
        while (earliest < records.size() && records.get((int) earliest).timeMillis() < nowMillis - retentionMillis) {
            earliest++;
        }
    }

    void deliverDelayed() {
        if (!delayed.isEmpty()) {
            store(delayed.poll());
        }
    }

    @Override
    public CompletableFuture<Long> append(String stream, List<byte[]> data) {
        if (unavailable) {
            return failed(PlatformException.Effect.NONE);
        }
        final int fault = faulty ? random.nextInt(12) : 12;
        final long offset = records.size();
        switch (fault) {
            case 0 -> {
                return failed(PlatformException.Effect.NONE);
            }
            case 1 -> {
                return failed(PlatformException.Effect.POSSIBLE);
            }
            case 2 -> {
                data.forEach(this::store);
                return failed(PlatformException.Effect.POSSIBLE);
            }
            case 3 -> {
                delayed.addAll(data);
                return failed(PlatformException.Effect.POSSIBLE);
            }
            case 4 -> {
                data.forEach(this::store);
                delayed.addAll(data);
            }
            default -> data.forEach(this::store);
        }
        return CompletableFuture.completedFuture(offset);
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long from, int limit, Duration wait) {
        if (unavailable || faulty && random.nextInt(8) == 0) {
            return failed(PlatformException.Effect.NONE);
        }
        final int start = (int) Math.min(Math.max(from, earliest), records.size());
        final int end = Math.min(records.size(), start + 1 + random.nextInt(4));
        return CompletableFuture.completedFuture(
                new LogPage(earliest, records.size(), List.copyOf(records.subList(start, end))));
    }

    private static <T> CompletableFuture<T> failed(PlatformException.Effect effect) {
        return CompletableFuture.failedFuture(new PlatformException(effect, "fault", null));
    }
}
