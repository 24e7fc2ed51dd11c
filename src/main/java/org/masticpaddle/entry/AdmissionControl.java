package org.masticpaddle.entry;

import java.util.Objects;

import org.masticpaddle.admission.AdmissionQueue;
import org.masticpaddle.admission.OrganisationLimiter;
import org.masticpaddle.admission.RetryBudget;

/**
 * Admission decisions of one entry. Owned by the entry's duty.
 *
 * @param queue waiting requests
 * @param limits limits of organisations over all entries
 * @param retries budget of retries
 */
record AdmissionControl(AdmissionQueue queue, OrganisationLimiter limits, RetryBudget retries) {
    AdmissionControl {
        Objects.requireNonNull(queue, "queue is null");
        Objects.requireNonNull(limits, "limits is null");
        Objects.requireNonNull(retries, "retries is null");
    }
}
