package placement

import _ "hemlockquay/internal/fixedseed"
