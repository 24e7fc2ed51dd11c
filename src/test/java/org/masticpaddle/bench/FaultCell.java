package org.masticpaddle.bench;

import java.util.List;
import java.util.function.Consumer;

/**
 * One row of the table of faults.
 *
 * @param fault fault
 * @param step step of a request or of the configuration that the fault meets
 * @param expectation guarantee that the row shows
 * @param run provokes the fault and checks what followed; leaves the deployment working
 */
record FaultCell(String fault, String step, String expectation, Consumer<ProcessDeployment> run) {
    static List<FaultCell> all() {
        return java.util.stream.Stream.of(
                        ClaimCells.cells(), AnswerCells.cells(), BillingCells.cells(), StateCells.cells())
                .flatMap(List::stream)
                .toList();
    }

    @Override
    public String toString() {
        return fault + " / " + step + ": " + expectation;
    }
}
