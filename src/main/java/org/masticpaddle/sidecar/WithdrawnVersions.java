package org.masticpaddle.sidecar;

import java.util.function.Supplier;

import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.document.VersionName;

/**
 * Versions that are withdrawn in the sidecar's copy of the routing document. The sidecar rejects attempts on them,
 * since an entry may still have an older document. Thread-safe if the supplier is.
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
