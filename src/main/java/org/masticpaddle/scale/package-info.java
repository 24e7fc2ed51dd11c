/** Measures how the cost of each mechanism grows with its input, and extrapolates the costs to a target size. */
package org.masticpaddle.scale;
