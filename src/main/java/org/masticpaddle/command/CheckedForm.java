package org.masticpaddle.command;

import java.net.URI;
import java.util.List;
import java.util.Optional;

/** Form of configurations that can be checked before they are sent. */
interface CheckedForm {
    /** Returns whether a file seems to have this form. */
    boolean recognises(SourceFile file);

    /**
     * Reads what is in force of the configuration that files replace.
     *
     * @param origin origin of the store that holds it
     * @param files files that are checked
     * @throws CommandException if the store is unavailable or holds no configuration
     */
    List<SourceFile> inForce(URI origin, List<SourceFile> files);

    /**
     * Checks files.
     *
     * @param files files that together make up the configuration
     * @param base files of the configuration to compare with, empty for no comparison
     * @throws CommandException if the base cannot be read
     */
    CheckReport check(List<SourceFile> files, Optional<List<SourceFile>> base);
}
