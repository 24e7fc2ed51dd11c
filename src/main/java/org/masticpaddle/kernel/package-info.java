/** Microkernel: named services with an ordered start and stop, and duty threads fed by bounded ring buffers. */
package org.masticpaddle.kernel;
