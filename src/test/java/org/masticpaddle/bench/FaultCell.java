package org.masticpaddle.bench;

import java.util.List;
import java.util.function.Consumer;

/**
 * One cell of the fault matrix.
 *
 * @param fault fault to inject
 * @param step step of a request or of the configuration during which the fault is injected
 * @param expectation guarantee that must hold in spite of the fault
 * @param run injects the fault and checks the guarantee; leaves the deployment working
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
