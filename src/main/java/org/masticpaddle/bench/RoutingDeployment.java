package org.masticpaddle.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.masticpaddle.document.Limits;
import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.Organisation;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.document.VersionName;

/**
 * One of the two deployments as the routing experiments need it. Immutable.
 *
 * @param region region
 * @param failureDomains failure domains
 * @param service model service
 * @param workers workers of the model service
 * @param slots requests that a worker runs at the same time
 * @param kinds request kinds
 * @param qualityStepByKind quality that the versions of odd index lose from one kind to the next, and the others gain
 */
record RoutingDeployment(
        String region,
        List<String> failureDomains,
        String service,
        int workers,
        int slots,
        List<String> kinds,
        double qualityStepByKind) {
    static final List<RoutingDeployment> ALL = List.of(
            new RoutingDeployment(
                    "ar-cuyo",
                    List.of("cuyo-a", "cuyo-b", "cuyo-c"),
                    "mastic-llm",
                    8,
                    8,
                    List.of("contract-review", "advice", "summary"),
                    0.04),
            new RoutingDeployment(
                    "pk-central",
                    List.of("pk-lahore", "pk-faisalabad", "pk-multan"),
                    "mastic-fleet",
                    6,
                    8,
                    List.of("field-chat", "quote", "site-notes"),
                    0.02));

    /** Needs of the ten organisations: cheap versions suffice for most of them, as the workload says. */
    private static final double[] REQUIRED_QUALITIES = {0.55, 0.6, 0.6, 0.65, 0.7, 0.7, 0.75, 0.78, 0.82, 0.86};

    private static final List<String> VERSION_NAMES =
            List.of("small/1", "small/2", "medium/1", "medium/2", "large/1", "large/2");
    private static final long[] OUTPUT_PRICES_MICROS = {100, 120, 500, 550, 2_500, 2_600};
    private static final double[] TRUE_QUALITY = {0.64, 0.72, 0.78, 0.83, 0.90, 0.93};
    /** Error of the declared qualities, which the ratings have to correct. */
    private static final double[] DECLARED_QUALITY_ERRORS = {0.06, -0.05, -0.04, 0.03, 0, -0.04};

    /** Quality that a version truly has for a kind; the kinds differ in difficulty by version. */
    double trueQuality(int version, int kind) {
        return TRUE_QUALITY[version] + qualityStepByKind * (kind - 1) * (version % 2 == 0 ? 1 : -1);
    }

    static int indexOf(VersionName name) {
        return VERSION_NAMES.indexOf(name.toString());
    }

    static int versionCount() {
        return VERSION_NAMES.size();
    }

    RoutingDocument document() {
        final Map<VersionName, ModelVersion> versions = new HashMap<>();
        for (int index = 0; index < VERSION_NAMES.size(); index++) {
            final VersionName name = VersionName.parse(VERSION_NAMES.get(index));
            versions.put(
                    name,
                    new ModelVersion(
                            name,
                            service,
                            ModelVersion.State.ACTIVE,
                            OUTPUT_PRICES_MICROS[index] / 4,
                            OUTPUT_PRICES_MICROS[index],
                            TRUE_QUALITY[index] + DECLARED_QUALITY_ERRORS[index],
                            Map.of(),
                            20,
                            ModelVersion.SessionEnd.MOVE));
        }
        final Map<String, Organisation> organisations = new HashMap<>();
        organisations().forEach(organisation -> organisations.put(organisation.name(), organisation));
        return new RoutingDocument(organisations, versions, Map.of(), Map.of(), Map.of());
    }

    List<Organisation> organisations() {
        final List<Organisation> organisations = new ArrayList<>();
        for (int index = 0; index < REQUIRED_QUALITIES.length; index++) {
            final List<String> allowed = index % 4 == 3
                    ? List.of("small/2", "medium/*", "large/1")
                    : List.of("small/*", "medium/*", "large/*");
            organisations.add(new Organisation(
                    "org-" + index, "team", "sha256:" + index, 1, REQUIRED_QUALITIES[index], allowed, List.of(), 0.02, Limits.NONE));
        }
        return organisations;
    }
}
