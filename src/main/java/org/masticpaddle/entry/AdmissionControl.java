package org.masticpaddle.entry;

import java.util.Objects;

import org.masticpaddle.admission.AdmissionQueue;
import org.masticpaddle.admission.OrganisationLimiter;
import org.masticpaddle.admission.RetryBudget;

/**
 * Admission queue, limits and retry budget of one entry. Owned by the entry's duty; not thread-safe.
 *
 * @param queue queue of the waiting requests
 * @param organisationLimiter limits of the organisations, shared by all entries
 * @param retryBudget budget that bounds the share of retries
 */
record AdmissionControl(AdmissionQueue queue, OrganisationLimiter organisationLimiter, RetryBudget retryBudget) {
    AdmissionControl {
        Objects.requireNonNull(queue, "queue is null");
        Objects.requireNonNull(organisationLimiter, "organisationLimiter is null");
        Objects.requireNonNull(retryBudget, "retryBudget is null");
    }
}
