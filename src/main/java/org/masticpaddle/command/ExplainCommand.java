package org.masticpaddle.command;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletionException;

import com.beust.jcommander.Parameter;
import org.masticpaddle.entry.ExplainQuery;
import org.masticpaddle.entry.Explanation;
import org.masticpaddle.routing.UpstreamScore;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpResponse;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.Rank;

/** Asks an entry where a request would go, and why. Used by one thread. */
final class ExplainCommand implements Command {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
    private static final int MAX_PRINTED_UPSTREAMS = 10;

    @Parameter(
            names = "--entry",
            description = "Origin of the entry, for example http://10.0.0.3:7000",
            required = true)
    private String entry = "";

    @Parameter(names = "--organisation", description = "Organisation that asks", required = true)
    private String organisation = "";

    @Parameter(names = "--kind", description = "Request kind")
    private String kind = "chat";

    @Parameter(names = "--rank", description = "urgent, standard or background")
    private String rank = "standard";

    @Parameter(names = "--model", description = "auto, a model, or MODEL/VERSION")
    private String model = "auto";

    @Parameter(names = "--quality", description = "Quality asked for, 0 to 1; default: that of the organisation")
    private Double quality;

    @Parameter(names = "--session", description = "Session identifier or token")
    private String session;

    @Parameter(names = "--deadline-ms", description = "Time left; default: timeout of the rank")
    private Long deadlineMillis;

    @Parameter(names = "--prompt-tokens", description = "Tokens of the prompt")
    private int promptTokens = 100;

    @Parameter(names = "--output-tokens", description = "Most generated tokens")
    private int outputTokens = 256;

    @Parameter(names = "--non-idempotent", description = "The request runs at most once")
    private boolean nonIdempotent;

    @Parameter(names = "--output", description = "text or json")
    private OutputFormat output = OutputFormat.TEXT;

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String description() {
        return "Tell where a request would go now, and why; exit code 1 if it would be refused";
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        final HttpResponse answer = sendQuery();
        if (!answer.successful()) {
            final String message = Json.tree(answer.body()).at("/error/message").asText("status " + answer.status());
            throw new CommandException(answer.status() < 500 ? ExitCode.NEGATIVE : ExitCode.UNAVAILABLE, message);
        }
        final Explanation explanation = Json.decode(answer.body(), Explanation.class);
        if (output == OutputFormat.JSON) {
            out.println(new String(answer.body(), StandardCharsets.UTF_8));
        } else {
            print(explanation, out);
        }
        return "refused".equals(explanation.plan()) ? ExitCode.NEGATIVE : ExitCode.SUCCESS;
    }

    private HttpResponse sendQuery() {
        final Rank wanted = Rank.of(rank)
                .orElseThrow(
                        () -> new CommandException(ExitCode.USAGE, "--rank: expected urgent, standard or background"));
        if (quality != null && !(quality >= 0 && quality <= 1) || promptTokens < 0 || outputTokens < 1) {
            throw new CommandException(ExitCode.USAGE, "--quality is 0 to 1, the numbers of tokens are not negative");
        }
        final ExplainQuery query = new ExplainQuery(
                organisation,
                kind,
                wanted,
                model,
                quality,
                session,
                deadlineMillis,
                promptTokens,
                outputTokens,
                !nonIdempotent);
        return LogOptions.withClient(client -> {
            try {
                return client.send(HttpRequest.post(
                                LogOptions.parseOrigin("--entry", entry), "/internal/explain", query, REQUEST_TIMEOUT))
                        .join();
            } catch (CompletionException e) {
                throw new CommandException(ExitCode.UNAVAILABLE, e.getCause().getMessage());
            }
        });
    }

    private static void print(Explanation explanation, PrintStream out) {
        out.println("entry " + explanation.entry() + ", document revision " + explanation.revision());
        out.printf(
                Locale.ROOT,
                "quality needed %.2f, %d ms left%s%n%n",
                explanation.need(),
                explanation.timeLeftMillis(),
                explanation.binding().isEmpty() ? "" : ", session bound to " + explanation.binding());
        out.printf(
                "%-16s %12s %15s %10s %-10s %8s  %s%n",
                "version", "price micros", "quality (bound)", "expected", "health", "roll-out", "verdict");
        for (final Explanation.Candidate candidate : explanation.candidates()) {
            out.printf(
                    Locale.ROOT,
                    "%-16s %12d %7.3f (%5.3f) %7.0f ms %-10s %8s  %s%n",
                    candidate.version(),
                    candidate.priceMicros(),
                    candidate.quality(),
                    candidate.qualityBound(),
                    candidate.millis(),
                    candidate.health(),
                    candidate.rolloutShare() < 0
                            ? "-"
                            : String.format(Locale.ROOT, "%.0f%%", 100 * candidate.rolloutShare()),
                    candidate.verdict());
        }
        out.println();
        out.println(explanation.words());
        if (explanation.service().isEmpty()) {
            return;
        }
        out.printf(
                Locale.ROOT,
                "%nservice %s: %d requests of this entry in flight, bound %d%n",
                explanation.service(),
                explanation.inFlight(),
                explanation.bound());
        explanation.upstreams().stream().limit(MAX_PRINTED_UPSTREAMS).forEach(upstream -> print(upstream, out));
        final int more = explanation.upstreams().size() - MAX_PRINTED_UPSTREAMS;
        if (more > 0) {
            out.println("  and " + more + " more");
        }
        if (explanation.upstreams().stream().noneMatch(UpstreamScore::eligible)) {
            out.println("  no upstream takes the version now; the request would wait up to its deadline");
        }
    }

    private static void print(UpstreamScore upstream, PrintStream out) {
        out.printf(
                Locale.ROOT,
                "  %-20s %9.1f ms  %s%n",
                upstream.upstream(),
                upstream.millis(),
                upstream.eligible() ? "takes the version" : "does not take the version now");
    }
}
