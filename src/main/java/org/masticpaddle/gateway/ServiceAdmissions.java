package org.masticpaddle.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.masticpaddle.admission.ServiceAdmission;

/**
 * Admissions of a gateway's services, and whether they decide.
 *
 * <p>Invariant: a request keeps the mode that was in force at its arrival; {@link AdmissionMode#IMMEDIATE} is the initial one.
 * Used on the event loop only.
 */
final class ServiceAdmissions {
    private final Map<String, ServiceAdmission> admissions = new HashMap<>();
    private AdmissionMode mode = AdmissionMode.IMMEDIATE;

    /** Replaces the mode for requests that arrive from now on. */
    void updateMode(AdmissionMode newMode) {
        mode = Objects.requireNonNull(newMode, "newMode is null");
    }

    /** Returns whether requests that arrive now may wait or be rejected for lack of room. */
    boolean decide() {
        return mode.decides();
    }

    /** Returns the admission of a service. */
    ServiceAdmission service(String service) {
        return admissions.computeIfAbsent(service, name -> new ServiceAdmission());
    }
}
