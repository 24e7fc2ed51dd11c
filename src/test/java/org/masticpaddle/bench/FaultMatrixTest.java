package org.masticpaddle.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.masticpaddle.document.DocumentCheck;
import org.masticpaddle.document.Part;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.wire.Charge;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Injects each fault of the matrix into one deployment of real processes, and after each cell checks the guarantees over
 * all responses that callers have received so far. Guards against answers that are cut off, mixed up or from a version
 * that is not allowed, against bookings that run twice, against false "not run" errors, and against wrong charges, each
 * caused by the loss, restart, pause or delay of a process, a connection or the log.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class FaultMatrixTest {
    private static final long SEED = Long.getLong("masticpaddle.seed", 20261204L);

    private final Set<String> reportedViolations = new HashSet<>();
    private ProcessDeployment deployment;

    @BeforeAll
    void start(@TempDir Path directory) throws IOException {
        System.out.println("fault matrix: seed " + SEED);
        deployment = new ProcessDeployment(directory, SEED);
        deployment.start();
    }

    @AfterAll
    void stop() {
        try {
            checkCharges();
        } finally {
            deployment.stop();
        }
    }

    static List<FaultCell> cells() {
        final String wanted = System.getProperty("masticpaddle.cell", "");
        return FaultCell.all().stream()
                .filter(cell -> cell.toString().contains(wanted))
                .toList();
    }

    @ParameterizedTest
    @MethodSource("cells")
    void shouldKeepTheGuarantees(FaultCell cell) {
        if (!cell.fault().startsWith("log")) {
            // By design, a charge is lost if both its entry and its sidecar are killed before either has appended it.
            // The charges so far must therefore be on the log before the next fault.
            BillingCells.awaitBilled(deployment, deployment.results());
        }
        final long start = System.nanoTime();
        try {
            cell.run().accept(deployment);
        } finally {
            System.out.printf("fault matrix: %s (%d ms)%n", cell, (System.nanoTime() - start) / 1_000_000);
        }
        final GuaranteeCheck check = check();
        check.checkAnswers(deployment.results().stream()
                .filter(FaultMatrixTest::hasWholeAnswer)
                .toList());
        check.checkBookings(withoutRetriedRejections());
        final Set<String> violations = new LinkedHashSet<>(check.violations());
        violations.addAll(deployment.falseNotRunResponses());
        violations.removeAll(reportedViolations);
        reportedViolations.addAll(violations);
        assertThat(violations).isEmpty();
    }

    @AfterEach
    void clearFaults() {
        deployment.clearFaults();
    }

    /**
     * Leaves out rejections whose key was answered by a later request, since the booking count at the end contradicts them;
     * {@link ProcessDeployment#falseNotRunResponses()} checks them against the count at their own time.
     */
    private List<LoadResult> withoutRetriedRejections() {
        final Set<String> answered = deployment.results().stream()
                .filter(LoadResult::answered)
                .map(FaultMatrixTest::idempotencyKey)
                .collect(Collectors.toSet());
        return deployment.results().stream()
                .filter(result -> result.answered() || !answered.contains(idempotencyKey(result)))
                .toList();
    }

    /** Leaves out streams that broke off or ended with an error event: callers see that failure, and the cells check it. */
    private static boolean hasWholeAnswer(LoadResult result) {
        return result.request().path().startsWith("/services")
                || ChatText.answerText(result).isPresent();
    }

    private static String idempotencyKey(LoadResult result) {
        return result.request().headers().getOrDefault("Idempotency-Key", "");
    }

    /** Checks that each answer is billed once, at the cost reported to its caller. Waits, as charges are appended late. */
    private void checkCharges() {
        BillingCells.awaitBilled(deployment, deployment.results());
        final Map<String, Charge> billed = BillingCells.billedCharges(deployment);
        BillingCells.reportedMicros(deployment.results())
                .forEach((identity, micros) -> assertWithMessage(identity)
                        .that(billed.get(identity).billedMicros())
                        .isEqualTo(micros));
    }

    private GuaranteeCheck check() {
        final List<Part> parts = List.of("platform", "products").stream()
                .map(team -> Part.of(team, deployment.part(team)))
                .toList();
        final RoutingDocument document = DocumentCheck.check(parts).document();
        return new GuaranteeCheck(
                deployment.platform(), document, Map.of(ProcessDeployment.CALLER_KEY, ProcessDeployment.ORGANISATION));
    }
}
