package org.masticpaddle.routes.check;

import java.util.List;
import java.util.Objects;

import org.masticpaddle.routes.KeyOwner;

/**
 * An organisation of a configuration. Immutable and thread-safe.
 *
 * @param owner name and rank of the organisation
 * @param keys digests of its keys with their places
 */
public record Organisation(KeyOwner owner, List<Placed<KeyDigest>> keys) {
    /** Checks the arguments and copies the list. */
    public Organisation {
        Objects.requireNonNull(owner, "owner is null");
        keys = List.copyOf(keys);
    }

    /**
     * Returns the name of the organisation.
     *
     * @return name as written
     */
    public String name() {
        return owner.organisation();
    }
}
