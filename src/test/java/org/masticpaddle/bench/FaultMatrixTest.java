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
 * Runs the table of faults against one deployment of real processes, and after each row checks the guarantees over
 * everything that callers have received so far. A row fails if its fault breaks the guarantee it names.
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
            // A charge is lost by design when its entry and its sidecar both die before an append.
            BillingCells.awaitBilled(deployment, deployment.results());
        }
        final long start = System.nanoTime();
        try {
            cell.run().accept(deployment);
        } finally {
            System.out.printf("fault matrix: %s (%d ms)%n", cell, (System.nanoTime() - start) / 1_000_000);
        }
        final GuaranteeCheck check = check();
        check.checkAnswers(
                deployment.results().stream().filter(FaultMatrixTest::hasWholeAnswer).toList());
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

    /** A refusal that a later call of its key followed is judged by {@link ProcessDeployment#falseNotRunResponses()}. */
    private List<LoadResult> withoutRetriedRejections() {
        final Set<String> answered = deployment.results().stream()
                .filter(LoadResult::answered)
                .map(FaultMatrixTest::idempotencyKey)
                .collect(Collectors.toSet());
        return deployment.results().stream()
                .filter(result -> result.answered() || !answered.contains(idempotencyKey(result)))
                .toList();
    }

    /** A stream that was cut off or ended with an error event is a failure that its caller sees; rows judge it. */
    private static boolean hasWholeAnswer(LoadResult result) {
        return result.request().path().startsWith("/services")
                || ChatText.answerText(result).isPresent();
    }

    private static String idempotencyKey(LoadResult result) {
        return result.request().headers().getOrDefault("Idempotency-Key", "");
    }

    /** Checks that each answer is billed once, at the price that its caller was told; charges come late by design. */
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
