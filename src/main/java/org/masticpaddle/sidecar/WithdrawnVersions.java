package org.masticpaddle.sidecar;

import java.util.function.Supplier;

import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.document.VersionName;

/**
 * Versions that the sidecar's own document has withdrawn, so that an entry with an older document cannot start work on
 * them. Thread-safe if the supplier is.
 */
final class WithdrawnVersions {
    private final Supplier<RoutingDocument> document;

    WithdrawnVersions(Supplier<RoutingDocument> document) {
        this.document = document;
    }

    boolean contains(String model, String version) {
        if (model.isEmpty()) {
            return false;
        }
        final ModelVersion declared = document.get().versions().get(new VersionName(model, version));
        return declared != null && declared.state() == ModelVersion.State.WITHDRAWN;
    }
}
