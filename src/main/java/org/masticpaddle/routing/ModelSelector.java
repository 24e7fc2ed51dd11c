package org.masticpaddle.routing;

import java.util.Objects;

import org.masticpaddle.document.VersionName;

/** Selector of versions that a caller gives in the field {@code model}. Immutable and thread-safe. */
public sealed interface ModelSelector {
    /**
     * Parses a selector.
     *
     * @param text {@code auto}, a model, or {@code model/version}; an empty text means {@code auto}
     * @return {@link Any}, {@link OfModel} or {@link OfVersion}; the model or version need not exist
     */
    static ModelSelector parse(String text) {
        Objects.requireNonNull(text, "text is null");
        if (text.isEmpty() || text.equals("auto")) {
            return new Any();
        }
        return text.indexOf('/') < 0 ? new OfModel(text) : new OfVersion(VersionName.parse(text));
    }

    /**
     * Returns whether a version matches this selector.
     *
     * @param version name of the version
     * @return {@code true} if it matches
     */
    boolean accepts(VersionName version);

    /** Selects every version. */
    record Any() implements ModelSelector {
        @Override
        public boolean accepts(VersionName version) {
            return true;
        }
    }

    /**
     * Selects every version of one model.
     *
     * @param model name of the model
     */
    record OfModel(String model) implements ModelSelector {
        @Override
        public boolean accepts(VersionName version) {
            return version.model().equals(model);
        }
    }

    /**
     * Selects exactly one version.
     *
     * @param version name of the version
     */
    record OfVersion(VersionName version) implements ModelSelector {
        @Override
        public boolean accepts(VersionName other) {
            return version.equals(other);
        }
    }
}
