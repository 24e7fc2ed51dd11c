/** Measures how the cost of each mechanism grows with its input, and applies the slopes to a target size. */
package org.masticpaddle.scale;
