package duration

import _ "hemlockquay/internal/fixedseed"
