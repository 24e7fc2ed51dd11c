/** Micro-kernel: named services with an ordered start and stop, and duty threads fed by bounded rings. */
package org.masticpaddle.kernel;
