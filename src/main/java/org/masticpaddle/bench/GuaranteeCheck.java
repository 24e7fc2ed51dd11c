package org.masticpaddle.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.masticpaddle.billing.ChargeTotals;
import org.masticpaddle.document.Organisation;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.document.VersionName;
import org.masticpaddle.standin.EngineJournal;
import org.masticpaddle.wire.Json;

/**
 * Compares what callers received with the journals of the stand-ins, and lists every guarantee that was violated. Used
 * by one thread.
 */
final class GuaranteeCheck {
    private final LocalPlatform platform;
    private final RoutingDocument document;
    private final Map<String, String> organisationByKey;
    private final List<String> violations = new ArrayList<>();

    GuaranteeCheck(LocalPlatform platform, RoutingDocument document, Map<String, String> organisationByKey) {
        this.platform = platform;
        this.document = document;
        this.organisationByKey = Map.copyOf(organisationByKey);
    }

    List<String> violations() {
        return List.copyOf(violations);
    }

    /** Checks each answer: allowed version, own and whole text. */
    void checkAnswers(List<LoadResult> results) {
        for (final LoadResult result : results) {
            if (result.request().path().startsWith("/v1/chat") && result.answered()) {
                checkAnswer(result);
            }
        }
    }

    private void checkAnswer(LoadResult result) {
        final VersionName version =
                VersionName.parse(result.headers().getOrDefault("masticpaddle-version", "none/none"));
        final Organisation organisation = document.organisations().get(organisation(result));
        if (!organisation.allows(version)) {
            violations.add("organisation " + organisation.name() + " was answered by " + version);
        }
        final JsonNode body = Json.tree(result.request().body());
        final String prompt =
                "user: " + body.path("messages").path(0).path("content").asText() + "\n";
        final String expected = platform.engines()
                .get(0)
                .expectedAnswer(
                        version.toString(),
                        prompt,
                        result.headers().getOrDefault("masticpaddle-attempt", ""),
                        body.path("max_tokens").asInt());
        final Optional<String> text = ChatText.answerText(result);
        if (text.filter(expected::equals).isEmpty()) {
            violations.add("an answer is not the whole answer to its request: " + text.orElse("cut off"));
        }
    }

    private String organisation(LoadResult result) {
        return organisationByKey.get(
                result.request().headers().get("Authorization").substring("Bearer ".length()));
    }

    /** Checks that the answers of each session named one version. */
    void checkSessions(List<LoadResult> results, Set<String> withdrawn) {
        final Map<String, Set<String>> versions = new HashMap<>();
        for (final LoadResult result : results) {
            final String session = result.request().headers().get("Masticpaddle-Session");
            final String version = result.headers().get("masticpaddle-version");
            if (session != null && result.answered() && !withdrawn.contains(version)) {
                versions.computeIfAbsent(organisation(result) + " " + session, key -> new HashSet<>())
                        .add(version);
            }
        }
        versions.forEach((session, seen) -> {
            if (seen.size() > 1) {
                violations.add("session " + session + " was answered by " + seen);
            }
        });
    }

    /** Checks that no engine took new work on a version after the time from which all processes knew its withdrawal. */
    void checkWithdrawn(String version, long fromMillis) {
        platform.engines()
                .forEach(engine -> engine.journal().stream()
                        .filter(entry -> entry.version().equals(version) && entry.acceptedMillis() > fromMillis)
                        .map(EngineJournal.Entry::id)
                        .forEach(id -> violations.add("withdrawn version " + version + " received attempt " + id)));
    }

    /** Checks that each key was booked at most once, and each answered booking exactly once. */
    void checkBookings(List<LoadResult> results) {
        final Map<String, Integer> runs = new HashMap<>();
        platform.plainServices()
                .forEach(service -> service.journal().forEach(booking -> runs.merge(booking.key(), 1, Integer::sum)));
        runs.forEach((key, count) -> {
            if (count > 1) {
                violations.add("key " + key + " was booked " + count + " times");
            }
        });
        for (final LoadResult result : results) {
            final String key = result.request().headers().get("Idempotency-Key");
            if (key == null) {
                continue;
            }
            final int count = runs.getOrDefault(key, 0);
            if (result.answered() && count != 1) {
                violations.add("key " + key + " was answered and booked " + count + " times");
            }
            if (!result.answered() && count > 0 && reportsNotRun(result)) {
                violations.add("key " + key + " was refused as not run, and booked");
            }
        }
    }

    private static boolean reportsNotRun(LoadResult result) {
        return result.status() >= 400
                && "not_run"
                        .equals(Json.tree(result.body())
                                .path("error")
                                .path("run")
                                .asText());
    }

    /** Checks that what callers were told equals what the log bills. */
    void checkCharges(List<LoadResult> results) {
        final long billed = billedMicros();
        final long told = reportedMicros(results);
        if (billed != told) {
            violations.add("callers were told a cost of " + told + " micros, and the log bills " + billed);
        }
    }

    /** Whether every charge that callers were told of is on the log. */
    boolean chargesMatch(List<LoadResult> results) {
        return billedMicros() == reportedMicros(results);
    }

    private long billedMicros() {
        final ChargeTotals totals = new ChargeTotals();
        platform.log().journal("charges").forEach(totals::apply);
        return totals.totals().values().stream()
                .mapToLong(ChargeTotals.Total::billedMicros)
                .sum();
    }

    private static long reportedMicros(List<LoadResult> results) {
        return results.stream()
                .filter(LoadResult::answered)
                .mapToLong(ChatText::costMicros)
                .sum();
    }
}
